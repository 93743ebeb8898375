import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrossingDelays } from "../../../src/request/relay/crossingDelays.ts";

describe("CrossingDelays", () => {
    it("detects a link that has become slow, and its delay decays over time", () => {
        const delays = CrossingDelays.create();
        for (let now = 0; now < 1_000; now += 50) {
            delays.note(["a", "a"], 60, now);
            delays.note(["a", "b"], 80, now);
            delays.note(["b", "c", "c"], 660, now);
        }
        assert.ok(Math.abs(delays.getExtra("a", "b", 1_000) - 20) < 3);
        assert.ok(delays.getExtra("b", "c", 1_000) > 500);
        assert.equal(delays.getExtra("c", "b", 1_000), 0);
        assert.ok(delays.getExtra("b", "c", 13_000) < 100);
    });
});
