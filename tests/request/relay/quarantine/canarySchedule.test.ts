import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CanarySchedule } from "../../../../src/request/relay/quarantine/canarySchedule.ts";

const second = 1_000;

/** Lists the ranks of the nodes that may send a canary at a time after the last crash. */
function listRanks(nodes: number, elapsed: number): number[] {
    return Array.from({ length: nodes }, (_, rank) => rank)
        .filter(rank => CanarySchedule.create(() => ({ rank, nodes })).take(["part"], 0, elapsed) !== undefined);
}

describe("CanarySchedule", () => {
    it("lets a node send one canary for a part in some time, which has to be sent soon", () => {
        const schedule = CanarySchedule.create(() => ({ rank: 0, nodes: 1 }));
        assert.equal(schedule.take(["part"], 0, 100), 1_600);
        assert.equal(schedule.take(["part"], 0, 1_500), undefined);
        assert.equal(schedule.take(["other"], 0, 1_500), 3_000);
        assert.equal(schedule.take(["part"], 0, 1_700), 3_200);
    });

    it("waits longer after each crash, and no longer once the part was cleared", () => {
        const schedule = CanarySchedule.create(() => ({ rank: 0, nodes: 1 }));
        schedule.take(["part"], 0, 0);
        schedule.noteCrash(["part"], 100);
        assert.equal(schedule.take(["part"], 0, 3_000), undefined);
        assert.ok(schedule.take(["part"], 0, 3_200) !== undefined);
        schedule.noteCrash(["part"], 3_300);
        assert.equal(schedule.take(["part"], 0, 9_000), undefined);
        schedule.forget("part");
        assert.ok(schedule.take(["part"], 0, 9_000) !== undefined);
    });

    it("prefers requests with only one part that is held back", () => {
        const schedule = CanarySchedule.create(() => ({ rank: 0, nodes: 1 }));
        assert.equal(schedule.take(["a", "b"], 0, 1_900), undefined);
        assert.ok(schedule.take(["a"], 0, 1_900) !== undefined);
        assert.equal(schedule.take(["a", "b"], 0, 2_000), undefined, "The turn for one of them is taken.");
        assert.ok(schedule.take(["c", "b"], 0, 2_000) !== undefined);
    });

    // Guards against a part that stays held back because the nodes with the first turns get no requests with it.
    it("gives each node its turn, one node at first, later several at a time, but never most of them", () => {
        assert.deepEqual([0, 1, 2].map(slot => listRanks(6, slot * second)), [[0], [1], [2]]);
        assert.deepEqual([3, 4].map(slot => listRanks(6, slot * second)), [[3, 4], [0, 5]]);
        const turns = Array.from({ length: 20 }, (_, slot) => listRanks(340, slot * second));
        assert.equal(new Set(turns.flat()).size, 340);
        assert.ok(turns.every(ranks => ranks.length <= 43));
        assert.ok(turns.slice(0, 5).every(ranks => ranks.length <= 2));
    });
});
