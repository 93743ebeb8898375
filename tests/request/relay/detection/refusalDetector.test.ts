import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RefusalDetector } from "../../../../src/request/relay/detection/refusalDetector.ts";
import { EndpointHealth } from "../../../../src/request/relay/endpoints/endpointHealth.ts";
import type { EndpointReport } from "../../../../src/request/relay/endpoints/endpointReport.ts";
import { createSeededRandom } from "../../../support/createSeededRandom.ts";
import { FakeClock } from "../../../support/fakeClock.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";
import { createEndpoint } from "../relayModel.ts";

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

async function checkRefusal(report: EndpointReport | undefined, later = report) {
    const health = EndpointHealth.create();
    const clock = FakeClock.create();
    const reports = [report, later];
    let found = 0;
    const detector = RefusalDetector.create({
        health,
        clock,
        log: RecordingEventLog.create(),
        fetchReport: () => Promise.resolve(reports.shift()),
        onFound: () => found += 1,
    });
    const noted = detector.check(endpoint);
    await clock.advance(1_000);
    await noted;
    return { isAvoided: health.isSuspect("e", 2_900), found };
}

describe("RefusalDetector", () => {
    it("avoids an endpoint that refuses although it has free memory, and one that doesn't answer", async () => {
        assert.deepEqual(await checkRefusal(createReport(200)), { isAvoided: true, found: 1 });
        assert.deepEqual(await checkRefusal(undefined), { isAvoided: true, found: 1 });
    });

    it("does not avoid a full endpoint, which accepts requests again when memory becomes free", async () => {
        assert.deepEqual(await checkRefusal(createReport(900)), { isAvoided: false, found: 0 });
    });

    /**
     * Guards against trusting a stale report: after a loss, the requests of all nodes fill the remaining endpoint, whose first report
     * is from just before and still shows free memory (`FL1722`: 43,600 of 465,277 token layers used, then 382,280).
     */
    it("does not avoid a full endpoint whose first report is older than the requests that filled it", async () => {
        assert.deepEqual(await checkRefusal(createReport(100), createReport(900)), { isAvoided: false, found: 0 });
    });

    it("asks an endpoint only once that refused until recently, so that peers learn sooner that it still does", async () => {
        const health = EndpointHealth.create();
        const clock = FakeClock.create();
        let reports = 0;
        const detector = RefusalDetector.create({
            health,
            clock,
            log: RecordingEventLog.create(),
            fetchReport: () => {
                reports += 1;
                return Promise.resolve(createReport(200));
            },
            onFound: () => undefined,
        });
        void detector.check(endpoint);
        await clock.advance(3_500);
        assert.deepEqual([health.isSuspect("e", 3_500), reports], [false, 2]);
        void detector.check(endpoint);
        await clock.advance(50);
        assert.deepEqual([health.isSuspect("e", 3_550), reports], [true, 3]);
    });

    /**
     * Guards against an exhausted retry budget when a quarter of the endpoints drain while the store is unavailable. They continue their
     * running streams, so no node believes a peer's suspicion, and each of 65 nodes discovers each of 16 endpoints by refused requests
     * again and again: 679 failed attempts (`FL1711`) in eight seconds, after which 243 requests were rejected (`FL1716`) although other
     * endpoints had free memory.
     */
    it("limits refused requests when many endpoints drain at once without a record of it", async () => {
        const refused = await countRefused();
        assert.ok(refused < 100, `${refused} of 1600 were refused`);
    });
});

/** Counts the refused requests in eight seconds of 200 requests per second to 65 nodes with 64 endpoints, of which 16 refuse. */
async function countRefused(): Promise<number> {
    const random = createSeededRandom(1);
    const clock = FakeClock.create();
    const nodes = Array.from({ length: 65 }, () => {
        const node = { health: EndpointHealth.create(random), hasUpdate: false };
        const detector = RefusalDetector.create({
            health: node.health,
            clock,
            log: RecordingEventLog.create(),
            fetchReport: () => Promise.resolve(createReport(300)),
            onFound: () => node.hasUpdate = true,
        });
        return { node, detector };
    });
    const choose = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]!;
    let refused = 0;
    for (let now = 0; now < 8_000; now += 5) {
        const { node: { health }, detector } = choose(nodes);
        const healthy = Array.from({ length: 64 }, (_, index) => index).filter(index =>
            !health.isSuspect(`e${index}`, now)
        );
        const chosen = choose(healthy);
        if (chosen < 16) {
            refused += 1;
            health.markUnavailable(`e${chosen}`, now);
            void detector.check(createEndpoint(`e${chosen}`));
        }
        for (const { node } of nodes) {
            // Running streams continue. Each node sends its suspicions to another node every 450 ms, or within 100 ms if it has updates.
            for (let index = 0; index < 16; index += 1) {
                node.health.markAlive(`e${index}`, now);
            }
            if (now % 450 !== 0 && !(node.hasUpdate && now % 100 === 0)) {
                continue;
            }
            node.hasUpdate = false;
            const peer = choose(nodes).node;
            for (const suspicion of node.health.getSuspicions(now)) {
                peer.hasUpdate = peer.health.applySuspicion(suspicion, now) || peer.hasUpdate;
            }
        }
        await clock.advance(5);
    }
    return refused;
}
