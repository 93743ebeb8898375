import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeAdmittedShares } from "../../../../src/request/admission/ranks/computeAdmittedShares.ts";

function doTest(demands: number[], capacity: number) {
    return computeAdmittedShares(demands.map(demand => ({ demand })), capacity).map(share =>
        Math.round(share * 1_000) / 1_000
    );
}

describe("computeAdmittedShares", () => {
    it("admits higher ranks first and gives lower ones what is left", () => {
        assert.deepEqual(doTest([100, 50, 200], 400), [1, 1, 1]);
        assert.deepEqual(doTest([100, 50, 200], 200), [1, 1, 0.25]);
        assert.deepEqual(doTest([100, 0, 200], 150), [1, 1, 0.25]);
    });

    // Guards against a last rank that gets nothing, and against floors on top of the whole capacity.
    it("gives each rank at least 0.05 of its demand, at the expense of the higher ones", () => {
        assert.deepEqual(doTest([100, 100, 200], 100), [0.85, 0.05, 0.05]);
        assert.deepEqual(doTest([100, 100], 0), [0.05, 0.05]);
    });

    it("admits everything while the capacity is unknown", () => {
        assert.deepEqual(doTest([100, 100], Infinity), [1, 1]);
    });
});
