import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { listEndpoints } from "./listEndpoints.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Time within which a change must be in force, and an endpoint that leaves must get no more requests, in milliseconds. */
const boundMilliseconds = 2_000;
/** After this time without changes, each node has a call that waits for the next one. */
const settleMilliseconds = 1_500;

describe("A store that loses the calls that wait for changes", () => {
    let harness: RouterTestHarness;
    let refused: KeyValueStandin;
    let nodes: StartedNode[];
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        refused = await KeyValueStandin.create();
        refused.faults = { refusalStatus: 503 };
        await harness.addEndpoint("first", "documents");
        await harness.addEndpoint("second", "documents");
        nodes = [];
        for (const address of [undefined, undefined, refused.getAddress()]) {
            const node = await harness.addNode(address);
            await harness.waitForEndpoints(node, 2);
            nodes.push(node);
        }
    });

    beforeEach(() => delay(settleMilliseconds));

    afterEach(async () => {
        harness.store.faults = {};
        harness.register("first", "documents");
        await delay(boundMilliseconds);
    });

    after(async () => {
        await harness.close();
        await refused.close();
    });

    async function assertChangesReachAllNodes(): Promise<void> {
        version += 1;
        harness.store.put("op/config", createConfiguration(version));
        harness.register("first", "documents", undefined, "draining");
        await delay(boundMilliseconds);
        const versions = nodes.map(({ node }) => node.getRouting()?.configuration.version);
        assert.deepEqual(versions, nodes.map(() => version));
        assert.deepEqual(nodes.map(listLeaving), nodes.map(() => ["first"]));
    }

    // The store lost the waits of all nodes at once and answered all later calls: no call failed and no peer was ahead.
    it("delays no change beyond its bound if no other call is lost", async () => {
        harness.store.losePendingWatches();
        await assertChangesReachAllNodes();
    });

    it("delays no change beyond its bound if it was silent before", async () => {
        harness.store.faults = { isSilent: true };
        harness.store.losePendingWatches();
        await delay(2_000);
        harness.store.faults = {};
        await assertChangesReachAllNodes();
    });

    it("delays no change beyond its bound if it was silent for less than a call's timeout", async () => {
        harness.store.faults = { isSilent: true };
        harness.store.losePendingWatches();
        await delay(300);
        harness.store.faults = {};
        await assertChangesReachAllNodes();
    });
});

function listLeaving(started: StartedNode): string[] {
    return listEndpoints(started).filter(({ isDraining }) => isDraining).map(({ registeredId }) => registeredId);
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
