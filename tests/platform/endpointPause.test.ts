import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { findArrivalsInPauses } from "../../scripts/soak/router/findArrivalsInPauses.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Callers that send their next request at once, also after a refusal. */
const callerCount = 16;
const runMilliseconds = 4_500;

// Guards against sending requests to an endpoint that has refused one and asked for none for some time with Retry-After.
describe("An endpoint that asks for a pause", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    beforeEach(async () => {
        harness = await RouterTestHarness.create();
    });

    afterEach(() => harness.close());

    async function startNode(endpoints: EndpointStandin[]): Promise<void> {
        node = await harness.addNode();
        await harness.waitForEndpoints(node, harness.endpoints.size);
        for (const [index, endpoint] of endpoints.entries()) {
            endpoint.behaviour = { refusalStatus: 503, pauseSeconds: 1 + index };
        }
    }

    async function addFirstStages(): Promise<EndpointStandin[]> {
        const firsts = [];
        for (const id of ["a1", "a2", "a3"]) {
            firsts.push(await harness.addEndpoint(id, "model", { from: 0, to: 4 }));
        }
        await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        harness.putPlacementInHalves();
        return firsts;
    }

    async function addDocuments(ids = ["d1", "d2", "d3"]): Promise<EndpointStandin[]> {
        const endpoints = [];
        for (const id of ids) {
            endpoints.push(await harness.addEndpoint(id, "documents"));
        }
        return endpoints;
    }

    /** Sends requests that are repeated at once. Returns the statuses, with their counts. */
    async function sendRepeatedly(path: string): Promise<Map<number, number>> {
        const statuses = new Map<number, number>();
        const endsAt = performance.now() + runMilliseconds;
        const call = async () => {
            while (performance.now() < endsAt) {
                const { status } = await harness.send(node, path);
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
                await wait(5);
            }
        };
        await Promise.all(Array.from({ length: callerCount }, call));
        return statuses;
    }

    function assertPausesKept(endpoints: EndpointStandin[]): void {
        for (const { arrivals } of endpoints) {
            assert.ok(arrivals.length > 0, "The endpoint got no request.");
            assert.deepEqual(findArrivalsInPauses(arrivals).map(({ text }) => text), []);
        }
    }

    it("gets no stream within it, even if all endpoints with the first layers ask for one and callers repeat at once", async () => {
        const firsts = await addFirstStages();
        await startNode(firsts);
        const statuses = await sendRepeatedly("/model/x");
        assertPausesKept(firsts);
        assert.deepEqual([...statuses.keys()], [503]);
    });

    it("gets no document request within it, even if all endpoints ask for one and callers repeat at once", async () => {
        const endpoints = await addDocuments();
        await startNode(endpoints);
        const statuses = await sendRepeatedly("/safe/x");
        assertPausesKept(endpoints);
        assert.deepEqual([...statuses.keys()], [503]);
    });

    it("gets none within it while the store is away", async () => {
        const endpoints = await addDocuments();
        await startNode(endpoints);
        harness.store.faults = { isSilent: true };
        await sendRepeatedly("/unsafe/x");
        assertPausesKept(endpoints);
    });

    it("gets none within it after its record was removed and has returned", async () => {
        const endpoints = await addDocuments();
        await startNode(endpoints);
        const rewrite = setInterval(() => {
            for (const id of harness.endpoints.keys()) {
                harness.store.remove(`servers/${id}`);
                setTimeout(() => harness.register(id, "documents"), 50);
            }
        }, 200);
        await sendRepeatedly("/safe/x");
        clearInterval(rewrite);
        assertPausesKept(endpoints);
    });

    it("gets none within it after a refusal that names a shorter time", async () => {
        const endpoints = await addDocuments();
        await startNode(endpoints);
        const [endpoint] = endpoints;
        endpoint!.behaviour = { refusalStatus: 503, pauseSeconds: 3 };
        const shorten = setInterval(() => {
            endpoint!.behaviour = { refusalStatus: 503, pauseSeconds: 0.2 };
        }, 50);
        await sendRepeatedly("/safe/x");
        clearInterval(shorten);
        assertPausesKept(endpoints);
    });

    it("gets requests again after it, and callers were told to return then", async () => {
        const [endpoint] = await addDocuments(["d1"]);
        await startNode([endpoint!]);
        const refused = await harness.send(node, "/safe/x");
        const seconds = Number(refused.headers["retry-after"]);
        assert.equal(refused.status, 503);
        assert.ok(seconds > 0.9 && seconds < 1.6, `Retry-After is ${seconds}.`);
        endpoint!.behaviour = {};
        assert.equal((await harness.send(node, "/safe/x")).status, 503);
        await wait(seconds * 1_000);
        assert.equal((await harness.send(node, "/safe/x")).status, 200);
    });
});
