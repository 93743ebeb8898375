import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Time within which a change must be in force, and an endpoint that leaves must get no more requests, in milliseconds. */
const boundMilliseconds = 2_000;
/** Time for all nodes to learn of changes. */
const settleMilliseconds = 800;

describe("A store that comes back from an older copy", () => {
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
});

function listEndpoints({ node }: StartedNode): { registeredId: string; isDraining: boolean; }[] {
    return (node.getStatus() as { endpoints: { registeredId: string; isDraining: boolean; }[]; }).endpoints;
}

function listIds(started: StartedNode): string[] {
    return listEndpoints(started).map(({ registeredId }) => registeredId).sort();
}

function listLeaving(started: StartedNode): string[] {
    return listEndpoints(started).filter(({ isDraining }) => isDraining).map(({ registeredId }) => registeredId).sort();
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
