import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RetryBudget } from "../../../src/request/admission/retryBudget.ts";

describe("RetryBudget", () => {
    it("holds retries at a tenth of the requests and one a second", () => {
        const budget = RetryBudget.create(0);
        let retries = 0;
        for (let now = 0; now < 100_000; now += 10) {
            budget.observeRequest();
            retries += budget.takeRetry(now) ? 1 : 0;
        }
        // 10,000 requests in 100 s, and the 10 retries that a new budget holds.
        assert.ok(Math.abs(retries - 1_110) <= 2, String(retries));
    });

    it("does not save up without end", () => {
        const budget = RetryBudget.create(0);
        let retries = 0;
        while (budget.takeRetry(1e9)) {
            retries++;
        }
        assert.equal(retries, 50);
    });
});
