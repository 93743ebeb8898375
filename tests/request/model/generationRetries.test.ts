import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GenerationRetries } from "../../../src/request/model/generationRetries.ts";

describe("GenerationRetries", () => {
    it("allows 12 failed attempts", () => {
        const retries = GenerationRetries.create();
        for (let failures = 0; failures < 12; failures += 1) {
            assert.ok(retries.isAllowed(0));
            retries.addFailure();
        }
        assert.ok(!retries.isAllowed(0));
    });

    it("allows refusals of a started answer for 8 s after the first one since the last token, at growing intervals", () => {
        const retries = GenerationRetries.create();
        const delays: number[] = [];
        for (let now = 1_000; now < 9_000; now += 100) {
            assert.ok(retries.isAllowed(now));
            retries.addRefusal(now);
            delays.push(retries.takeDelay());
        }
        assert.ok(!retries.isAllowed(9_000));
        assert.deepEqual(delays.slice(0, 5), [50, 100, 200, 400, 400]);
        assert.deepEqual(retries.takeRefusals(9_000), { refusals: 80, milliseconds: 8_000 });
        assert.ok(retries.isAllowed(9_000));
        assert.equal(retries.takeDelay(), 50);
        assert.equal(retries.takeRefusals(9_000), undefined);
    });
});
