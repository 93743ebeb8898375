import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { isStoreWatcher } from "../../../src/process/router/isStoreWatcher.ts";
import type { KnownNode } from "../../../src/process/router/knownNode.ts";
import { listStoreWatchers } from "../../../src/process/router/listStoreWatchers.ts";

describe("isStoreWatcher", () => {
    let owners: RendezvousOwners;

    before(async () => {
        owners = await RendezvousOwners.create();
    });

    function createNodes(count: number): KnownNode[] {
        return Array.from({ length: count }, (_, index) => ({
            nodeId: `node-${index}`,
            address: `10.0.0.${index}:1`,
            dataCentre: "a",
            isWithoutStore: false,
            heardAt: 0,
        }));
    }

    function listWatchers(nodes: KnownNode[]): string[] {
        const listed = nodes.map(node => {
            const others = nodes.filter(other => other !== node);
            return { node, watchers: listStoreWatchers([...others, node], owners) };
        });
        return listed.filter(({ node, watchers }) => isStoreWatcher(node.nodeId, watchers)).map(({ node }) =>
            node.nodeId
        );
    }

    it("selects few nodes, consistently at every node", () => {
        assert.equal(listWatchers(createNodes(77)).length, 3);
        assert.equal(listWatchers(createNodes(340)).length, 6);
    });

    it("replaces nodes that the store refuses, which keep retrying", () => {
        const nodes = createNodes(77);
        const refused = new Set(listWatchers(nodes));
        const changed = nodes.map(node => ({ ...node, isWithoutStore: refused.has(node.nodeId) }));
        const watchers = listWatchers(changed);
        assert.equal(watchers.filter(nodeId => !refused.has(nodeId)).length, 3);
        assert.ok([...refused].every(nodeId => watchers.includes(nodeId)));
    });

    it("lets few nodes keep retrying if the store refuses all", () => {
        const nodes = createNodes(195).map(node => ({ ...node, isWithoutStore: true }));
        assert.equal(listWatchers(nodes).length, 16);
    });
});
