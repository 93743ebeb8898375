import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LinkDelays } from "../../../../src/request/relay/links/linkDelays.ts";

describe("LinkDelays", () => {
    it("detects a link that has become slow, and its delay decays over time", () => {
        const delays = LinkDelays.create();
        for (let now = 0; now < 1_000; now += 50) {
            delays.recordFirstEvent(["a", "a"], 60, now);
            delays.recordFirstEvent(["a", "b"], 80, now);
            delays.recordFirstEvent(["b", "c", "c"], 660, now);
        }
        assert.ok(Math.abs(delays.getDelay("a", "b", 1_000) - 20) < 3);
        assert.ok(delays.getDelay("b", "c", 1_000) > 500);
        assert.equal(delays.getDelay("c", "b", 1_000), 0);
        assert.ok(delays.getDelay("b", "c", 13_000) < 100);
    });
});
