import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../src/process/logging/events.ts";
import { Metrics } from "../../../src/process/metrics/metrics.ts";
import { OverloadProtection } from "../../../src/process/overload/overloadProtection.ts";
import type { KnownNode } from "../../../src/process/router/knownNode.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

function createProtection(peers: Partial<KnownNode>[]) {
    const clock = FakeClock.create();
    const log = RecordingEventLog.create();
    const nodes = peers.map((peer, index) => ({
        nodeId: `peer-${index}`,
        address: "",
        dataCentre: "a",
        isWithoutStore: false,
        heardAt: 0,
        ...peer,
    }));
    const protection = OverloadProtection.create({
        nodeId: "own",
        dataCentre: "a",
        clock,
        getLag: () => 20,
        getNodes: () => nodes,
        owners: { getOwners: () => [] },
        log,
        metrics: Metrics.create(),
    });
    return { protection, clock, log };
}

describe("OverloadProtection and new connections", () => {
    // Guards against nodes that close connections to each other's benefit while all of them are overloaded.
    it("lets them be closed only if at least half of the peers of the data centre are in rotation and on time", () => {
        const canTake = (...peers: Partial<KnownNode>[]) =>
            createProtection(peers).protection.canPeersTakeConnections();
        assert.ok(canTake({}, { lag: 400 }));
        assert.ok(!canTake({ lag: 400 }, {}, { isOutOfRotation: true }));
        assert.ok(!canTake({ dataCentre: "b" }));
        assert.ok(!canTake());
    });

    it("reports a long wait as lag for a while, and logs how many were closed at most once a second", async () => {
        const { protection, clock, log } = createProtection([{}]);
        protection.noteQueueEnd(200, 0);
        assert.equal(protection.getLag(), 20);
        protection.noteQueueEnd(320, 5);
        protection.noteQueueEnd(310, 2);
        assert.equal(protection.getLag(), 310);
        assert.deepEqual([log.numbers, log.fields[0]?.["count"]], [[events.connectionsClosedUnread.number], 5]);
        await clock.advance(1_000);
        assert.equal(protection.getLag(), 20);
        protection.noteQueueEnd(305, 1);
        assert.equal(log.fields[1]?.["count"], 3);
    });
});
