import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findFirstIndex } from "../../../../src/request/relay/chains/findFirstIndex.ts";

describe("findFirstIndex", () => {
    it("finds the first index for which the condition holds, or the count if there is none", () => {
        for (let count = 0; count < 6; count++) {
            for (let first = 0; first <= count; first++) {
                assert.equal(findFirstIndex(count, index => index >= first), first);
            }
        }
    });
});
