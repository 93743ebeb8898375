import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const requestCount = 12;

describe("A stream on the platform", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let firsts: EndpointStandin[];

    before(async () => {
        harness = await RouterTestHarness.create();
        firsts = [
            await harness.addEndpoint("a1", "model", { from: 0, to: 4 }),
            await harness.addEndpoint("a2", "model", { from: 0, to: 4 }),
        ];
        await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        await harness.addEndpoint("b2", "model", { from: 4, to: 8 });
        harness.putPlacementInHalves();
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 4);
    });

    beforeEach(() => {
        for (const endpoint of firsts) {
            endpoint.behaviour = {};
            endpoint.runs.length = 0;
        }
    });

    after(() => harness.close());

    const getIds = (body: string) => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
    const allIds = Array.from({ length: 5 }, (_, index) => index + 1);

    it("passes through a chain that runs each layer once, and is complete", async () => {
        const answer = await harness.send(node, "/model/x", { headers: { "token-counts": "700,60" } });
        assert.equal(answer.status, 200);
        assert.deepEqual(getIds(answer.body), allIds);
        assert.ok(answer.isComplete);
        const [run] = firsts.flatMap(endpoint => endpoint.runs);
        const stages = String(run?.headers["hop-count"]).split(",").map(stage => stage.split("=")[1]);
        assert.deepEqual(stages, ["0-4", "4-8"]);
    });

    it("resumes over another chain from its last event after a failure, without a gap or a repeat", async () => {
        firsts[0]!.behaviour = { cutsAfterEvent: 2 };
        for (let count = 0; count < 6; count++) {
            const answer = await harness.send(node, "/model/x");
            assert.deepEqual(getIds(answer.body), allIds);
            assert.ok(answer.isComplete);
        }
    });

    it("runs at no more first stages than its route allows, if these stay healthy", async () => {
        await harness.addEndpoint("a3", "model", { from: 0, to: 4 });
        await harness.waitForEndpoints(node, 5);
        firsts = ["a1", "a2", "a3"].map(id => harness.endpoints.get(id)!);
        for (const endpoint of firsts) {
            endpoint.behaviour = { cutsAfterEvent: 1 };
        }
        const answer = await harness.send(node, "/model/x");
        assert.deepEqual(getIds(answer.body), [1]);
        assert.ok(!answer.isComplete);
        assert.equal(firsts.flatMap(endpoint => endpoint.runs).length, 2);
    });

    it("is aborted if it may not be resumed, so that it does not look complete", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { cutsAfterEvent: 2 };
        }
        const answer = await harness.send(node, "/once/x");
        assert.deepEqual(getIds(answer.body), [1, 2]);
        assert.ok(!answer.isComplete);
        assert.equal(firsts.flatMap(endpoint => endpoint.runs).length, 1);
    });

    it("is rerouted to another chain while it runs if a later stage stalls", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { stallsAfterEvent: 2 };
            endpoint.stalledAddress = harness.endpoints.get("b1")!.getAddress();
        }
        const startedAt = performance.now();
        const answer = await harness.send(node, "/model/x");
        assert.deepEqual(getIds(answer.body), allIds);
        assert.ok(performance.now() - startedAt < 2_000);
        const order = firsts.flatMap(endpoint => endpoint.orders).find(({ operation }) => operation === "repath");
        assert.match(String(order?.["path"]), new RegExp(`${harness.endpoints.get("b2")!.getAddress()}=4-8$`));
    });

    it("is rerouted at once if a later stage has restarted under the same id", async () => {
        const stages = ["b1", "b2"].map(id => harness.endpoints.get(id)!);
        for (const endpoint of firsts) {
            endpoint.orders.length = 0;
            // The report of the first stage names no address, so that it does not trigger the rerouting.
            endpoint.behaviour = { stallsAfterEvent: 2 };
            endpoint.stalledAddress = "";
        }
        const sending = harness.send(node, "/model/x");
        await waitUntil("the stream runs", () => firsts.some(endpoint => endpoint.stalled.size > 0));
        const chain = String(firsts.flatMap(endpoint => endpoint.runs)[0]!.headers["hop-count"]);
        const [restarted, other] = chain.includes(stages[0]!.getAddress()) ? stages : stages.toReversed();
        restarted!.born += 1_000;
        const id = restarted === stages[0] ? "b1" : "b2";
        harness.register(id, "model");
        const order = () => firsts.flatMap(endpoint => endpoint.orders).find(({ operation }) => operation === "repath");
        await waitUntil("the stream is moved", () => order() !== undefined);
        assert.match(String(order()?.["path"]), new RegExp(`${other!.getAddress()}=4-8$`));
        assert.deepEqual(getIds((await sending).body), allIds);
        harness.register(id, "model", { from: 4, to: 8 });
        await waitUntil(
            "it holds its layers again",
            () =>
                (node.node.getStatus() as { endpoints: { layers?: object; }[]; }).endpoints.every(endpoint =>
                    endpoint.layers
                ),
        );
    });

    it("is rejected as not run if every first stage rejects it", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { refusalStatus: 503 };
        }
        const answer = await harness.send(node, "/once/x");
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
    });

    it("is cancelled at its first stage soon after its caller disconnects", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { stallsAfterEvent: 1 };
        }
        const controller = new AbortController();
        const sending = harness.send(node, "/once/x", { signal: controller.signal }).catch(() => undefined);
        await waitUntil("the stream runs", () => firsts.some(endpoint => endpoint.runs.length > 0));
        controller.abort();
        await sending;
        await waitUntil("its end is known", () => firsts.flatMap(({ runs }) => runs).every(run => run.isAbandoned));
    });

    it(`keeps the order of events over ${requestCount} concurrent requests while an endpoint aborts streams`, async () => {
        firsts[0]!.behaviour = { cutsAfterEvent: 1 };
        const answers = await Promise.all(Array.from({ length: requestCount }, () => harness.send(node, "/model/x")));
        for (const answer of answers) {
            const ids = getIds(answer.body);
            assert.deepEqual(ids, allIds.slice(0, ids.length));
            assert.ok(!answer.isComplete || answer.status !== 200 || ids.length === allIds.length);
        }
    });
});
