import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getCapacityTokens } from "../../../../src/request/relay/chains/getCapacityTokens.ts";
import { createCandidate } from "../relayModel.ts";

describe("getCapacityTokens", () => {
    // Guards against memory of lost endpoints that counts as capacity.
    it("is the memory of the layers with the least, without suspect endpoints", () => {
        const candidates = [
            createCandidate("1", 0, 40),
            createCandidate("2", 0, 40),
            createCandidate("3", 40, 80),
            createCandidate("4", 40, 80, { isSuspect: true }),
        ];
        assert.equal(getCapacityTokens(candidates, 80), 100_000);
        assert.equal(getCapacityTokens(candidates.slice(0, 3).with(2, createCandidate("3", 20, 80)), 80), 100_000);
    });

    it("is 0 if a layer is missing", () => {
        assert.equal(getCapacityTokens([createCandidate("1", 0, 40), createCandidate("2", 50, 80)], 80), 0);
        assert.equal(getCapacityTokens([createCandidate("1", 0, 40)], 80), 0);
        assert.equal(getCapacityTokens([], 80), 0);
    });
});
