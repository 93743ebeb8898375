import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointHealth } from "../../../src/request/relay/endpointHealth.ts";
import type { EndpointReport } from "../../../src/request/relay/endpointReport.ts";
import { RefusalWatch } from "../../../src/request/relay/refusalWatch.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { createEndpoint } from "./relayModel.ts";

const endpoint = createEndpoint("e");

function createReport(usedTokenLayers: number): EndpointReport {
    return {
        incarnation: 1,
        slowness: 1,
        orderSequence: 0,
        isBusyWithOrder: false,
        layers: undefined,
        usedTokenLayers,
        totalTokenLayers: 1_000,
        stalled: [],
    };
}

async function findOut(report: EndpointReport | undefined, later = report) {
    const health = EndpointHealth.create();
    const clock = FakeClock.create();
    const reports = [report, later];
    let found = 0;
    const watch = RefusalWatch.create({
        health,
        clock,
        log: RecordingEventLog.create(),
        fetchReport: () => Promise.resolve(reports.shift()),
        onFound: () => found += 1,
    });
    const noted = watch.note(endpoint);
    await clock.advance(1_000);
    await noted;
    return { isKeptAway: health.isSuspect("e", 2_900), found };
}

describe("RefusalWatch", () => {
    it("keeps requests away from an endpoint that refuses with room to spare, and from one that doesn't answer", async () => {
        assert.deepEqual(await findOut(createReport(200)), { isKeptAway: true, found: 1 });
        assert.deepEqual(await findOut(undefined), { isKeptAway: true, found: 1 });
    });

    it("leaves one that is full to those who wait for room", async () => {
        assert.deepEqual(await findOut(createReport(900)), { isKeptAway: false, found: 0 });
    });

    /**
     * After a loss the requests of all nodes came to the endpoint that was left; it was full, and its report was of the moment before
     * (`FL1722`, 43,600 of 465,277 used, then 382,280).
     */
    it("leaves one to them whose first report is older than what has filled it", async () => {
        assert.deepEqual(await findOut(createReport(100), createReport(900)), { isKeptAway: false, found: 0 });
    });

    /**
     * A quarter of the endpoints left while the store, whose records would have told of it, was away. They went on with the
     * streams that they had, so that no node believed a peer's suspicion; each of 65 nodes found each of 16 endpoints by refused
     * requests, again and again: 679 in eight seconds (`FL1711`), which used up what all nodes may repeat, and 243 requests were turned
     * away (`FL1716`) that other endpoints had room for.
     */
    it("lets few requests of all nodes be refused when many endpoints leave at once and their records don't tell", async () => {
        const refused = await countRefused();
        assert.ok(refused < 100, `${refused} of 1600 were refused`);
    });
});

/** Plays eight seconds of 200 requests a second to 65 nodes over 64 endpoints, of which 16 refuse. */
async function countRefused(): Promise<number> {
    const random = createSeededRandom(1);
    const clock = FakeClock.create();
    const nodes = Array.from({ length: 65 }, () => {
        const node = { health: EndpointHealth.create(random), hasNews: false };
        const watch = RefusalWatch.create({
            health: node.health,
            clock,
            log: RecordingEventLog.create(),
            fetchReport: () => Promise.resolve(createReport(300)),
            onFound: () => node.hasNews = true,
        });
        return { node, watch };
    });
    const choose = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]!;
    let refused = 0;
    for (let now = 0; now < 8_000; now += 5) {
        const { node: { health }, watch } = choose(nodes);
        const sound = Array.from({ length: 64 }, (_, index) => index).filter(index =>
            !health.isSuspect(`e${index}`, now)
        );
        const chosen = choose(sound);
        if (chosen < 16) {
            refused += 1;
            health.addLoss(`e${chosen}`, now);
            void watch.note(createEndpoint(`e${chosen}`));
        }
        for (const { node } of nodes) {
            // The streams that run go on, and each node tells another one of its beliefs every 450 ms, or 100 ms after news.
            for (let index = 0; index < 16; index += 1) {
                node.health.noteAlive(`e${index}`, now);
            }
            if (now % 450 !== 0 && !(node.hasNews && now % 100 === 0)) {
                continue;
            }
            node.hasNews = false;
            const peer = choose(nodes).node;
            for (const suspicion of node.health.getSuspicions(now)) {
                peer.hasNews = peer.health.addSuspicion(suspicion, now) || peer.hasNews;
            }
        }
        await clock.advance(5);
    }
    return refused;
}
