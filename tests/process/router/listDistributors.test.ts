import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { listDistributors } from "../../../src/process/router/listDistributors.ts";
import { listUpdateSources } from "../../../src/process/router/listUpdateSources.ts";

describe("listDistributors", () => {
    let owners: RendezvousOwners;

    before(async () => {
        owners = await RendezvousOwners.create();
    });

    it("contains every node from which another one gets updates, and few others", () => {
        const nodes = Array.from({ length: 60 }, (_, index) => ({
            nodeId: `node-${index}`,
            address: `10.0.0.${index}:1`,
            dataCentre: ["a", "b", "c"][index % 3]!,
            isWithoutStore: false,
            heardAt: 0,
        }));
        const own = nodes[0]!;
        const distributors = new Set([own.address, ...listDistributors(own, nodes.slice(1), owners)]);
        for (const node of nodes) {
            const { addresses } = listUpdateSources(node, nodes.filter(other => other !== node), owners);
            assert.ok(addresses.every(address => distributors.has(address)));
        }
        assert.ok(distributors.size <= 10, `${distributors.size} distributors`);
    });
});
