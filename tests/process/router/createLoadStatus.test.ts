import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLossDetector } from "../../../src/process/placement/endpointLossDetector.ts";
import { createLoadStatus } from "../../../src/process/router/createLoadStatus.ts";
import { LinkAdmission } from "../../../src/request/relay/links/linkAdmission.ts";
import { LinkDelays } from "../../../src/request/relay/links/linkDelays.ts";
import { RankReserve } from "../../../src/request/relay/queue/rankReserve.ts";
import { RecentRefusals } from "../../../src/request/relay/queue/recentRefusals.ts";
import { relayModel } from "../../request/relay/relayModel.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { crossingQuery } from "./crossingQuery.ts";

const log = RecordingEventLog.create();

function createSources() {
    const detector = EndpointLossDetector.create(() => -Infinity);
    return {
        rankReserve: RankReserve.create({ log }),
        refusals: RecentRefusals.create(),
        linkAdmission: LinkAdmission.create({
            random: () => 0.5,
            log,
            delays: LinkDelays.create(),
            getDemand: () => 0,
            getNodeCount: () => 3,
        }),
        losses: detector,
        storeWatch: { getPlanner: () => "node-2" },
        lease: { isHeld: () => false },
        overload: { getStep: () => undefined, getLag: () => 3, isOutOfRotation: () => false },
        nodeCount: 3,
    };
}

describe("createLoadStatus", () => {
    it("is empty on a node that has had no load, and is plain JSON", () => {
        const status = createLoadStatus(createSources(), 0);
        assert.deepEqual(JSON.parse(JSON.stringify(status)), {
            ranks: [],
            reserves: [],
            refusals: [],
            links: [],
            lostEndpoints: [],
            placement: { planner: "node-2", isLeaseHolder: false },
            overload: { step: "none", lagMilliseconds: 3, isOutOfRotation: false },
        });
    });

    // Guards against a status that shows this node's demand as that of all nodes, or omits ranks that only peers have.
    it("shows the demand of ranks at this node and at all nodes", () => {
        const sources = createSources();
        const { demands } = sources.rankReserve;
        demands.observeArrival({ service: "m", rank: 1, tokens: 2_000 }, 0);
        demands.setPeerDemands("node-2", [{ rank: 0, demand: 500, admitted: 400 }], 0);
        const { ranks } = createLoadStatus(sources, 0);
        const own = { demandTokensPerSecond: Math.round(demands.getOwn(1, 0).demand), admittedTokensPerSecond: 0 };
        assert.ok(own.demandTokensPerSecond > 0);
        assert.deepEqual(ranks, [
            {
                rank: 0,
                thisNode: { demandTokensPerSecond: 0, admittedTokensPerSecond: 0 },
                // The third node has not reported and counts with the mean of the others.
                allNodes: { demandTokensPerSecond: 1_000, admittedTokensPerSecond: 800 },
            },
            { rank: 1, thisNode: own, allNodes: own },
        ]);
    });

    // Guards against a time since when a reserve holds that restarts each time that the reserve is computed again.
    it("shows since when a reserve holds", () => {
        const sources = createSources();
        const { rankReserve } = sources;
        const request = { requestId: "r", service: "m", ranks: [0, 1], tokens: 20_000, isNew: true };
        const getState = (now: number) => ({
            holdMilliseconds: 1_000,
            nodeCount: 1,
            now,
            getMemoryTokens: () => 100_000,
            getTimelyTokens: () => 100_000,
        });
        const compute = (now: number) => rankReserve.getFraction({ ...request, rank: 1 }, getState(now));
        rankReserve.noteArrival({ ...request, rank: 0 }, getState(0));
        compute(0);
        compute(200);
        const [reserve] = createLoadStatus(sources, 250).reserves;
        assert.deepEqual({ ...reserve, fraction: 0 }, {
            service: "m",
            rank: 1,
            fraction: 0,
            heldMilliseconds: 250,
            ageMilliseconds: 50,
        });
        assert.ok(reserve!.fraction > 0);
    });

    // Guards against a closed link that names no reporter, or that still shows as closed after it has opened.
    it("shows a closed link with its reporter until it is open again", () => {
        const sources = createSources();
        const { linkAdmission } = sources;
        const link = { from: "a", to: "b" };
        const report = { ...link, bitsPerSecond: 1, waiting: 2, longestWaitMilliseconds: 9_000 };
        linkAdmission.applyReports("node-2", 0, [report], 0);
        linkAdmission.getWait(crossingQuery, 100);
        const getLink = (now: number) => createLoadStatus(sources, now).links[0]!;
        assert.deepEqual(getLink(400), {
            ...link,
            bitsPerSecond: 0,
            waiting: 0,
            state: "closed",
            closedMilliseconds: 300,
            reporter: "node-2",
        });
        linkAdmission.applyReports("node-2", 0, [], 500);
        linkAdmission.getWait(crossingQuery, 500);
        assert.equal(getLink(500).state, "trial");
        linkAdmission.begin([link], relayModel, 800, 200, 600).noteEvent(700);
        assert.deepEqual([getLink(700).state, getLink(700).reporter], ["open", undefined]);
    });

    // Guards against a loss that is shown without the nodes that reported it.
    it("shows lost endpoints with their reporters", () => {
        const sources = createSources();
        sources.losses.addEvidence("e1", 0);
        sources.losses.setPeerEvidence("node-2", [{ endpointId: "e1", age: 0 }], 0);
        sources.losses.update({ isReliable: true, peers: 2, reachingPeers: 2 }, 0);
        const { lostEndpoints } = createLoadStatus(sources, 500);
        assert.deepEqual(lostEndpoints, [{ endpointId: "e1", reporters: ["self", "node-2"], ageMilliseconds: 500 }]);
    });
});
