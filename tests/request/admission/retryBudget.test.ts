import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RetryBudget } from "../../../src/request/admission/retryBudget.ts";

describe("RetryBudget", () => {
    it("limits retries to a tenth of the requests plus one a second", () => {
        const budget = RetryBudget.create(0);
        let retries = 0;
        for (let now = 0; now < 100_000; now += 10) {
            budget.observeRequest();
            retries += budget.takeRetry(now) ? 1 : 0;
        }
        // A tenth of 10,000 requests, one a second for 100 s, and the initial balance of 10.
        assert.ok(Math.abs(retries - 1_110) <= 2, String(retries));
    });

    it("limits the balance that accumulates", () => {
        const budget = RetryBudget.create(0);
        let retries = 0;
        while (budget.takeRetry(1e9)) {
            retries++;
        }
        assert.equal(retries, 50);
    });

    // Guards against streams that can't continue because requests that could be refused have used up the budget.
    it("leaves retries for others if asked to, but never more than it can hold", () => {
        const policy = { ratio: 0.1, perSecond: 0, maximumBalance: 10 };
        const budget = RetryBudget.create(0, () => policy);
        assert.equal(budget.getBalance(0), 2);
        assert.ok(budget.takeRetry(0, 1));
        assert.ok(!budget.takeRetry(0, 1));
        assert.ok(budget.takeRetry(0));
        const small = RetryBudget.create(0, () => ({ ratio: 1, perSecond: 0, maximumBalance: 1 }));
        small.observeRequest();
        assert.ok(small.takeRetry(0, 1));
    });
});
