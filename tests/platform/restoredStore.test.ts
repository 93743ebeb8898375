import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { listEndpoints } from "./listEndpoints.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Time within which a change must be in force, and an endpoint that leaves must get no more requests, in milliseconds. */
const boundMilliseconds = 2_000;
/** Time for all nodes to learn of changes. */
const settleMilliseconds = 800;

describe("A store that is restored from an older snapshot", () => {
    let harness: RouterTestHarness;
    let refused: KeyValueStandin;
    let nodes: StartedNode[];
    let version = 1;

    before(async () => {
        refused = await KeyValueStandin.create();
        refused.faults = { refusalStatus: 503 };
    });

    beforeEach(async () => {
        harness = await RouterTestHarness.create();
        version = 1;
        nodes = [];
        await harness.addEndpoint("first", "documents");
        await harness.addEndpoint("second", "documents");
        for (const address of [undefined, undefined, refused.getAddress()]) {
            const node = await harness.addNode(address);
            await harness.waitForEndpoints(node, 2);
            nodes.push(node);
        }
    });

    afterEach(() => harness.close());

    after(() => refused.close());

    /** Writes versions of the configuration and records of the second endpoint, as the operator and endpoints do on a busy day. */
    function putChanges(count: number): void {
        for (let index = 0; index < count; index++) {
            putConfiguration();
            harness.register("second", "documents");
        }
    }

    function putConfiguration(): void {
        version += 1;
        harness.store.put("op/config", createConfiguration(version));
    }

    async function assertAllNodesKnow(expected: { leaving: string[]; ids: string[]; }): Promise<void> {
        await delay(boundMilliseconds);
        const versions = nodes.map(({ node }) => node.getRouting()?.configuration.version);
        assert.deepEqual(versions, nodes.map(() => version));
        assert.deepEqual(nodes.map(listLeaving), nodes.map(() => expected.leaving));
        assert.deepEqual(nodes.map(listIds), nodes.map(() => expected.ids));
    }

    // All records of the restored store have lower revisions than nodes know, so they were ignored as outdated.
    it("delays no change beyond its bound while its revisions are lower than the known ones", async () => {
        const copy = harness.store.createCopy();
        putChanges(10);
        await delay(settleMilliseconds);
        harness.store.restore(copy);
        putConfiguration();
        harness.register("first", "documents", undefined, "draining");
        await assertAllNodesKnow({ leaving: ["first"], ids: ["first", "second"] });
    });

    it("delays no change beyond its bound once its revisions have passed the known ones", async () => {
        const copy = harness.store.createCopy();
        putChanges(3);
        await delay(settleMilliseconds);
        harness.store.faults = { isSilent: true };
        harness.store.restore(copy);
        harness.register("first", "documents", undefined, "draining");
        putChanges(6);
        await delay(settleMilliseconds);
        harness.store.faults = {};
        await assertAllNodesKnow({ leaving: ["first"], ids: ["first", "second"] });
    });

    it("delays no change beyond its bound in the third of three returns in a row", async () => {
        for (let count = 0; count < 3; count++) {
            const copy = harness.store.createCopy();
            putChanges(4);
            await delay(60);
            harness.store.restore(copy);
            putConfiguration();
        }
        harness.register("first", "documents", undefined, "draining");
        await assertAllNodesKnow({ leaving: ["first"], ids: ["first", "second"] });
    });

    it("ends no known leaving of an endpoint by a record of before", async () => {
        const copy = harness.store.createCopy();
        harness.register("first", "documents", undefined, "draining");
        await delay(settleMilliseconds);
        harness.store.restore(copy);
        await assertAllNodesKnow({ leaving: ["first"], ids: ["first", "second"] });
        assert.equal(harness.endpoints.get("first")!.runs.length, 0);
    });

    it("brings back no endpoint that is known to be gone", async () => {
        const copy = harness.store.createCopy();
        harness.store.remove("servers/first");
        await delay(settleMilliseconds);
        harness.store.restore(copy);
        await assertAllNodesKnow({ leaving: [], ids: ["second"] });
        harness.store.remove("servers/first");
        await assertAllNodesKnow({ leaving: [], ids: ["second"] });
    });

    it("drops an endpoint whose record it lost if it is not written again", async () => {
        const copy = harness.store.createCopy();
        await harness.addEndpoint("third", "documents");
        await harness.addEndpoint("fourth", "documents");
        await delay(settleMilliseconds);
        harness.store.restore(copy);
        harness.register("fourth", "documents");
        await assertAllNodesKnow({ leaving: [], ids: ["first", "fourth", "second"] });
    });

    it("gives a node that starts after it the newest known configuration through its peers", async () => {
        const copy = harness.store.createCopy();
        putChanges(3);
        await delay(settleMilliseconds);
        harness.store.restore(copy);
        await delay(settleMilliseconds);
        nodes.push(await harness.addNode(refused.getAddress()));
        await assertAllNodesKnow({ leaving: [], ids: ["first", "second"] });
    });

    // The store had given out the revision again, for a write of another process.
    it("executes no write that expects a revision of before", async () => {
        const copy = harness.store.createCopy();
        harness.store.put("key", { value: "earlier" });
        const store = nodes[0]!.store;
        const earlier = await store.get("key");
        assert.ok(earlier.ok && earlier.val !== undefined);
        harness.store.restore(copy);
        harness.store.put("key", { value: "later" });
        await delay(settleMilliseconds);
        const swapped = await store.compareAndSwap("key", earlier.val.revision, "overwritten");
        assert.ok(swapped.ok && !swapped.val.swapped);
        assert.equal(harness.store.getText("key"), JSON.stringify({ value: "later" }));
        assert.equal(swapped.val.current?.value, JSON.stringify({ value: "later" }));
    });

    it("gets a plan of layers that it lost back, and orders have higher fencing numbers than before", async () => {
        const copy = harness.store.createCopy();
        for (const id of ["e1", "e2"]) {
            await harness.addEndpoint(id, "model");
        }
        const getLayers = (id: string) => harness.endpoints.get(id)!.layers;
        await waitUntil("both hold layers", () => getLayers("e1") !== undefined && getLayers("e2") !== undefined);
        const plan = harness.store.getText("foxlead/placement/model");
        harness.store.restore(copy);
        for (const id of ["e1", "e2"]) {
            harness.register(id, "model", getLayers(id));
        }
        await waitUntil("the plan is back", () => harness.store.getText("foxlead/placement/model") === plan);
        await harness.addEndpoint("e3", "model");
        await waitUntil("the new endpoint holds layers", () => getLayers("e3") !== undefined);
        const fences = (ids: string[]) =>
            ids.flatMap(id => harness.endpoints.get(id)!.orders.map(({ fence }) => fence));
        const before = Math.max(...fences(["e1", "e2"]).map(Number));
        assert.ok(fences(["e3"]).every(fence => Number(fence) > before), `${fences(["e3"])} after ${before}`);
    });
});

function listIds(started: StartedNode): string[] {
    return listEndpoints(started).map(({ registeredId }) => registeredId);
}

function listLeaving(started: StartedNode): string[] {
    return listEndpoints(started).filter(({ isDraining }) => isDraining).map(({ registeredId }) => registeredId);
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
