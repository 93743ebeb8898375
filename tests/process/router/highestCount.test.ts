import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HighestCount } from "../../../src/process/router/highestCount.ts";

describe("HighestCount", () => {
    it("keeps a count for 30 seconds after it was last seen", () => {
        const highest = HighestCount.create(3, 0);
        assert.equal(highest.note(9, 1_000), 9);
        assert.equal(highest.note(1, 20_000), 9);
        assert.equal(highest.note(1, 29_000), 9);
        assert.equal(highest.note(1, 36_000), 1);
    });
});
