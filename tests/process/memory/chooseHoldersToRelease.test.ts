import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseHoldersToRelease } from "../../../src/process/memory/chooseHoldersToRelease.ts";
import type { MeasuredHolder } from "../../../src/process/memory/measuredHolder.ts";

const now = 10_000;

function createHolder(bytes: number, heldMilliseconds: number, releasableBytes = bytes): MeasuredHolder {
    const holder = { measure: () => amount, release: () => undefined };
    const amount = { bytes, releasableBytes, heldSince: now - heldMilliseconds };
    return { holder, amount };
}

describe("chooseHoldersToRelease", () => {
    it("chooses what was held for the longest time among equal sizes, until enough is released", () => {
        const holders = [createHolder(10_000, 10), createHolder(10_000, 30), createHolder(10_000, 20)];
        assert.deepEqual(chooseHoldersToRelease(holders, 15_000, now), [holders[1], holders[2]]);
        assert.deepEqual(chooseHoldersToRelease(holders, 10_000, now), [holders[1]]);
    });

    it("spares small and new holders for large ones that stand still", () => {
        const small = createHolder(6_000, 500);
        const fresh = createHolder(4_000_000, 1);
        const still = createHolder(2_000_000, 1_000);
        assert.deepEqual(chooseHoldersToRelease([small, fresh, still], 1, now), [still]);
        assert.deepEqual(chooseHoldersToRelease([small, fresh, still], 3_000_000, now), [still, fresh]);
    });

    it("counts only what can be released", () => {
        const running = createHolder(5_000_000, 5_000, 0);
        const partly = createHolder(5_000_000, 5_000, 10_000);
        assert.deepEqual(chooseHoldersToRelease([running, partly], 50_000, now), [partly]);
        assert.deepEqual(chooseHoldersToRelease([running], 1_000, now), []);
    });

    it("breaks no connection for a little, however long that was held", () => {
        assert.deepEqual(chooseHoldersToRelease([createHolder(4_000, 1_000_000)], 1_000_000, now), []);
    });

    it("chooses nothing if nothing is to be released", () => {
        assert.deepEqual(chooseHoldersToRelease([createHolder(10_000, 1)], 0, now), []);
    });
});
