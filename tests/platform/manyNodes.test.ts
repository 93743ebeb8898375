import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { RouterTestHarness } from "./routerTestHarness.ts";

/** So many that only few of them follow the store, and the others get changes from these. */
const nodeCount = 15;
/** Time within which a change must be in force, in milliseconds. */
const boundMilliseconds = 2_000;
/** After this time without changes, the nodes that follow the store have calls that wait for the next one. */
const settleMilliseconds = 2_500;

describe("A store with many nodes", () => {
    let harness: RouterTestHarness;
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        for (let count = 0; count < nodeCount; count++) {
            await harness.addNode();
        }
        await delay(settleMilliseconds);
    });

    beforeEach(() => delay(settleMilliseconds));

    after(() => harness.close());

    function putConfiguration(): void {
        version += 1;
        harness.store.put("op/config", createConfiguration(version));
    }

    async function assertVersionInForce(): Promise<void> {
        await delay(boundMilliseconds);
        const versions = harness.nodes.map(({ node }) => node.getRouting()?.configuration.version);
        assert.deepEqual(versions, harness.nodes.map(() => version));
    }

    it("delays no change beyond its bound if it loses the calls that wait for changes", async () => {
        harness.store.losePendingWatches();
        putConfiguration();
        await assertVersionInForce();
    });

    it("delays no change beyond its bound if it is restored from an older snapshot", async () => {
        const copy = harness.store.createCopy();
        for (let count = 0; count < 10; count++) {
            putConfiguration();
        }
        await delay(settleMilliseconds);
        harness.store.restore(copy);
        putConfiguration();
        await assertVersionInForce();
    });
});

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
