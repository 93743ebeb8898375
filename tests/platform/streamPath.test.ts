import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterBench, type StartedNode } from "./routerBench.ts";

const eventCount = 12;

describe("A stream on the platform", () => {
    let bench: RouterBench;
    let node: StartedNode;
    let firsts: EndpointStandin[];

    before(async () => {
        bench = await RouterBench.create();
        firsts = [
            await bench.addEndpoint("a1", "model", { from: 0, to: 4 }),
            await bench.addEndpoint("a2", "model", { from: 0, to: 4 }),
        ];
        await bench.addEndpoint("b1", "model", { from: 4, to: 8 });
        await bench.addEndpoint("b2", "model", { from: 4, to: 8 });
        // The plan that the endpoints' layers belong to, so that nothing is moved.
        const columns = [{ layers: { start: 0, end: 4 }, kind: "big" }, { layers: { start: 4, end: 8 }, kind: "big" }];
        bench.store.put("foxlead/placement/model", { service: "model", modelName: "m", layers: 8, columns });
        node = await bench.addNode();
        await bench.waitForEndpoints(node, 4);
    });

    beforeEach(() => {
        for (const endpoint of firsts) {
            endpoint.behaviour = {};
            endpoint.runs.length = 0;
        }
    });

    after(() => bench.close());

    const getIds = (body: string) => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
    const allIds = Array.from({ length: 5 }, (_, index) => index + 1);

    it("passes through a chain that runs each layer once, and comes whole", async () => {
        const answer = await bench.send(node, "/model/x", { headers: { "token-counts": "700,60" } });
        assert.equal(answer.status, 200);
        assert.deepEqual(getIds(answer.body), allIds);
        assert.ok(answer.isComplete);
        const [run] = firsts.flatMap(endpoint => endpoint.runs);
        const stages = String(run?.headers["hop-count"]).split(",").map(stage => stage.split("=")[1]);
        assert.deepEqual(stages, ["0-4", "4-8"]);
    });

    it("goes on over another chain from its last event where it broke off, without a gap or a repeat", async () => {
        firsts[0]!.behaviour = { cutsAfterEvent: 2 };
        for (let count = 0; count < 6; count++) {
            const answer = await bench.send(node, "/model/x");
            assert.deepEqual(getIds(answer.body), allIds);
            assert.ok(answer.isComplete);
        }
    });

    it("runs at no more first stages than its route allows, where these stay sound", async () => {
        await bench.addEndpoint("a3", "model", { from: 0, to: 4 });
        await bench.waitForEndpoints(node, 5);
        firsts = ["a1", "a2", "a3"].map(id => bench.endpoints.get(id)!);
        for (const endpoint of firsts) {
            endpoint.behaviour = { cutsAfterEvent: 1 };
        }
        const answer = await bench.send(node, "/model/x");
        assert.deepEqual(getIds(answer.body), [1]);
        assert.ok(!answer.isComplete);
        assert.equal(firsts.flatMap(endpoint => endpoint.runs).length, 2);
    });

    it("is broken off where it may not be resumed, so that it can't be taken for whole", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { cutsAfterEvent: 2 };
        }
        const answer = await bench.send(node, "/once/x");
        assert.deepEqual(getIds(answer.body), [1, 2]);
        assert.ok(!answer.isComplete);
        assert.equal(firsts.flatMap(endpoint => endpoint.runs).length, 1);
    });

    it("is moved to another chain while it runs where a later stage holds it up", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { stallsAfterEvent: 2 };
            endpoint.stalledAt = bench.endpoints.get("b1")!.getAddress();
        }
        const startedAt = performance.now();
        const answer = await bench.send(node, "/model/x");
        assert.deepEqual(getIds(answer.body), allIds);
        assert.ok(performance.now() - startedAt < 2_000);
        const order = firsts.flatMap(endpoint => endpoint.orders).find(({ operation }) => operation === "repath");
        assert.match(String(order?.["path"]), new RegExp(`${bench.endpoints.get("b2")!.getAddress()}=4-8$`));
    });

    it("is moved at once where a later stage has started again under its id", async () => {
        const stages = ["b1", "b2"].map(id => bench.endpoints.get(id)!);
        for (const endpoint of firsts) {
            endpoint.orders.length = 0;
            // No address is named as being at fault, so that the report of the first stage doesn't help.
            endpoint.behaviour = { stallsAfterEvent: 2 };
            endpoint.stalledAt = "";
        }
        const sending = bench.send(node, "/model/x");
        await waitUntil("the stream runs", () => firsts.some(endpoint => endpoint.stalled.size > 0));
        const chain = String(firsts.flatMap(endpoint => endpoint.runs)[0]!.headers["hop-count"]);
        const [restarted, other] = chain.includes(stages[0]!.getAddress()) ? stages : stages.toReversed();
        restarted!.born += 1_000;
        const id = restarted === stages[0] ? "b1" : "b2";
        bench.register(id, "model");
        const order = () => firsts.flatMap(endpoint => endpoint.orders).find(({ operation }) => operation === "repath");
        await waitUntil("the stream is moved", () => order() !== undefined);
        assert.match(String(order()?.["path"]), new RegExp(`${other!.getAddress()}=4-8$`));
        assert.deepEqual(getIds((await sending).body), allIds);
        bench.register(id, "model", { from: 4, to: 8 });
        await waitUntil(
            "it holds its layers again",
            () =>
                (node.node.getStatus() as { endpoints: { layers?: object; }[]; }).endpoints.every(endpoint =>
                    endpoint.layers
                ),
        );
    });

    it("is refused as not run where every first stage refuses it", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { refuseWith: 503 };
        }
        const answer = await bench.send(node, "/once/x");
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
    });

    it("ends at its first stage soon after its caller has gone", async () => {
        for (const endpoint of firsts) {
            endpoint.behaviour = { stallsAfterEvent: 1 };
        }
        const controller = new AbortController();
        const sending = bench.send(node, "/once/x", { signal: controller.signal }).catch(() => undefined);
        await waitUntil("the stream runs", () => firsts.some(endpoint => endpoint.runs.length > 0));
        controller.abort();
        await sending;
        await waitUntil("its end is known", () => firsts.flatMap(({ runs }) => runs).every(run => run.isAbandoned));
    });

    it(`keeps its order over ${eventCount} requests at once while endpoints cut and refuse`, async () => {
        firsts[0]!.behaviour = { cutsAfterEvent: 1 };
        const answers = await Promise.all(Array.from({ length: eventCount }, () => bench.send(node, "/model/x")));
        for (const answer of answers) {
            const ids = getIds(answer.body);
            assert.deepEqual(ids, allIds.slice(0, ids.length));
            assert.ok(!answer.isComplete || answer.status !== 200 || ids.length === allIds.length);
        }
    });
});
