import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { chooseLimitSharers } from "../../../src/process/router/chooseLimitSharers.ts";

const nodes = Array.from({ length: 12 }, (_, index) => ({ nodeId: `n${index}`, dataCentre: index < 4 ? "a" : "b" }));

describe("chooseLimitSharers", () => {
    let owners: RendezvousOwners;

    before(async () => {
        owners = await RendezvousOwners.create();
    });

    const choose = (nodeId: string, maximumSharers: number, id = "x") =>
        chooseLimitSharers({ endpoint: { id, dataCentre: "a" }, maximumSharers, nodeId, nodes, owners });
    const list = (maximumSharers: number, id?: string) =>
        nodes.map(({ nodeId }) => nodeId).filter(nodeId => choose(nodeId, maximumSharers, id).includesThisNode);

    it("chooses all nodes if they are few", () => {
        assert.deepEqual(choose("n3", 12), { count: 12, includesAllNodes: true, includesThisNode: true });
    });

    it("chooses the maximum number of nodes, consistently at each node, preferring the endpoint's data centre", () => {
        assert.equal(list(6).length, 6);
        assert.deepEqual(list(6).slice(0, 4), ["n0", "n1", "n2", "n3"]);
        assert.ok(list(3).every(nodeId => ["n0", "n1", "n2", "n3"].includes(nodeId)));
        assert.equal(choose("n0", 6).count, 6);
    });

    it("chooses different nodes for different endpoints", () => {
        const chosen = new Set(["x", "y", "z", "u", "v"].map(id => list(2, id).join()));
        assert.ok(chosen.size > 1);
    });
});
