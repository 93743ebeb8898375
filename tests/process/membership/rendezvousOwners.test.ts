import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isConfigurationWatcher } from "../../../src/process/membership/isConfigurationWatcher.ts";
import type { Member } from "../../../src/process/membership/member.ts";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";

const nodeIds = Array.from({ length: 9 }, (_, index) => `node-${index}`);
const keys = Array.from({ length: 900 }, (_, index) => `key-${index}`);

describe("RendezvousOwners", () => {
    it("moves only the keys of a removed node and distributes them over all others", async () => {
        const owners = await RendezvousOwners.create();
        const remaining = nodeIds.filter(nodeId => nodeId !== "node-4");
        const newOwners = new Set<string>();
        for (const key of keys) {
            const before = owners.getOwners(key, nodeIds, 3);
            const after = owners.getOwners(key, [...remaining].reverse(), 3);
            assert.deepEqual(after.slice(0, 2), before.filter(nodeId => nodeId !== "node-4").slice(0, 2));
            if (before[0] === "node-4") {
                newOwners.add(after[0] ?? "");
            }
        }
        assert.equal(newOwners.size, remaining.length);
    });

    it("assigns a similar number of keys to each node", async () => {
        const owners = await RendezvousOwners.create();
        const counts = new Map<string | undefined, number>();
        for (const key of keys) {
            const owner = owners.getOwners(key, nodeIds, 1)[0];
            counts.set(owner, (counts.get(owner) ?? 0) + 1);
        }
        for (const nodeId of nodeIds) {
            const count = counts.get(nodeId) ?? 0;
            assert.ok(count > 60 && count < 140, `${nodeId} has ${count}`);
        }
    });

    it("chooses three watchers, or all nodes if there are fewer", async () => {
        const owners = await RendezvousOwners.create();
        const members = nodeIds.map(nodeId => ({ nodeId }) as Member);
        const count = (of: Member[]): number =>
            of.filter(member => isConfigurationWatcher(member.nodeId, of, owners)).length;
        assert.equal(count(members), 3);
        assert.equal(count(members.slice(0, 2)), 2);
    });
});
