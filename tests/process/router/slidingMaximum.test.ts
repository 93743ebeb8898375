import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SlidingMaximum } from "../../../src/process/router/slidingMaximum.ts";

describe("SlidingMaximum", () => {
    it("keeps a count for 30 seconds after it was last seen", () => {
        const highest = SlidingMaximum.create(3, 0);
        assert.equal(highest.add(9, 1_000), 9);
        assert.equal(highest.add(1, 20_000), 9);
        assert.equal(highest.add(1, 29_000), 9);
        assert.equal(highest.add(1, 36_000), 1);
    });
});
