import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { findArrivalsAfterLeaving } from "../../scripts/soak/router/findArrivalsAfterLeaving.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const callerCount = 4;
const runMilliseconds = 3_500;

// Guards against sending requests to an endpoint that says in its answers that it leaves, while its record says that it is ready.
describe("An endpoint that announces in its answers that it is leaving", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    beforeEach(async () => {
        harness = await RouterTestHarness.create();
    });

    afterEach(() => harness.close());

    async function startNode(): Promise<void> {
        node = await harness.addNode();
        await harness.waitForEndpoints(node, harness.endpoints.size);
    }

    async function addFirstStages(): Promise<EndpointStandin> {
        const leaving = await harness.addEndpoint("a1", "model", { from: 0, to: 4 });
        await harness.addEndpoint("a2", "model", { from: 0, to: 4 });
        await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        harness.putPlacementInHalves();
        return leaving;
    }

    async function addDocuments(): Promise<EndpointStandin> {
        const leaving = await harness.addEndpoint("d1", "documents");
        await harness.addEndpoint("d2", "documents");
        return leaving;
    }

    /** Sends requests that are repeated at once for a while. Returns the statuses. */
    async function sendRepeatedly(path: string): Promise<Set<number>> {
        const statuses = new Set<number>();
        const endsAt = performance.now() + runMilliseconds;
        const call = async () => {
            while (performance.now() < endsAt) {
                statuses.add((await harness.send(node, path)).status);
                await wait(5);
            }
        };
        await Promise.all(Array.from({ length: callerCount }, call));
        return statuses;
    }

    function countLate({ arrivals }: EndpointStandin): number {
        assert.ok(arrivals.some(({ isLeavingAnnounced }) => isLeavingAnnounced), "The endpoint got no request.");
        const arrivalTimes = new Map(arrivals.map(({ requestId, arrivedAt }) => [requestId, arrivedAt]));
        return findArrivalsAfterLeaving(arrivals, requestId => arrivalTimes.get(requestId)!).length;
    }

    it("gets no more streams, which others serve", async () => {
        const leaving = await addFirstStages();
        await startNode();
        leaving.behaviour = { isLeaving: true };
        const statuses = await sendRepeatedly("/model/x");
        assert.deepEqual([countLate(leaving), [...statuses]], [0, [200]]);
    });

    it("gets no more document requests, which others serve, while the store is away", async () => {
        const leaving = await addDocuments();
        await startNode();
        leaving.behaviour = { isLeaving: true };
        harness.store.faults = { isSilent: true };
        const statuses = await sendRepeatedly("/unsafe/x");
        assert.deepEqual([countLate(leaving), [...statuses]], [0, [200]]);
    });

    it("gets none after its record was rewritten or was missing for a moment, and none if there is no other", async () => {
        const leaving = await addDocuments();
        await startNode();
        leaving.behaviour = { isLeaving: true };
        harness.endpoints.get("d2")!.behaviour = { refusalStatus: 503 };
        const rewrite = setInterval(() => {
            harness.store.remove("servers/d1");
            setTimeout(() => harness.register("d1", "documents"), 50);
        }, 200);
        await sendRepeatedly("/safe/x");
        clearInterval(rewrite);
        assert.equal(countLate(leaving), 0);
    });

    it("gets requests again once it has restarted under the same id", async () => {
        const leaving = await addDocuments();
        await startNode();
        leaving.behaviour = { isLeaving: true };
        while (leaving.arrivals.length === 0) {
            await harness.send(node, "/safe/x");
        }
        leaving.behaviour = {};
        leaving.born = Date.now() + 1;
        harness.register("d1", "documents");
        await wait(500);
        const before = leaving.arrivals.length;
        for (let count = 0; count < 20; count++) {
            await harness.send(node, "/safe/x");
        }
        assert.ok(leaving.arrivals.length > before, "The restarted endpoint got no request.");
    });
});
