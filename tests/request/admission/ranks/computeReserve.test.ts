import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeReserve } from "../../../../src/request/admission/ranks/computeReserve.ts";

function doTest(higherRanks: { demand: number; admitted: number; }[], holdMilliseconds: number | undefined = 2_000) {
    return computeReserve({ higherRanks, holdMilliseconds, capacityTokens: 100_000 });
}

describe("computeReserve", () => {
    it("reserves what the demand may grow by while every request is admitted", () => {
        assert.equal(doTest([{ demand: 20_000, admitted: 20_000 }]), 0.1);
        assert.equal(doTest([{ demand: 0, admitted: 0 }]), 0);
    });

    // Guards against a last rank that keeps the memory for which requests of the first rank wait.
    it("reserves what is needed for requests that are not admitted, also if another rank is admitted in full", () => {
        const full = { demand: 10_000, admitted: 14_000 };
        assert.equal(doTest([full, { demand: 8_000, admitted: 4_000 }]), 0.12);
    });

    // Guards against a reserve that refuses requests while most of the memory is free.
    it("is limited, so that it never applies while well under half of the memory is used", () => {
        assert.equal(doTest([{ demand: 100_000, admitted: 0 }]), 0.4);
    });

    it("reserves nothing before a request has ended, or without endpoints", () => {
        assert.equal(
            computeReserve({
                higherRanks: [{ demand: 9, admitted: 0 }],
                holdMilliseconds: undefined,
                capacityTokens: 9,
            }),
            0,
        );
        assert.equal(
            computeReserve({ higherRanks: [{ demand: 9, admitted: 0 }], holdMilliseconds: 9, capacityTokens: 0 }),
            0,
        );
    });
});
