import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { listPlanners } from "../../../src/process/router/listPlanners.ts";

describe("listPlanners", () => {
    it("lists late nodes last, and none that the store refuses", async () => {
        const owners = await RendezvousOwners.create();
        const nodes = ["a", "b", "c", "d"].map(nodeId => ({ nodeId, isWithoutStore: false }));
        const [first, second, third, fourth] = listPlanners(nodes, owners);
        const changed = nodes.map(node => ({
            ...node,
            isLate: node.nodeId === first,
            isWithoutStore: node.nodeId === second,
        }));
        assert.deepEqual(listPlanners(changed.toReversed(), owners), [third, fourth, first]);
    });
});
