import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getRetryPolicy } from "../../../src/process/router/getRetryPolicy.ts";

const settings = { repeatRatio: 0.2, repeatSlack: 200, repeatWindowMilliseconds: 10_000 };

describe("getRetryPolicy", () => {
    it("keeps the retries of all nodes in a window within the limit beyond the ratio", () => {
        for (const nodeCount of [1, 9, 63, 100]) {
            const { perSecond, maximumBalance, ratio } = getRetryPolicy(settings, nodeCount);
            assert.ok(nodeCount * (maximumBalance + 10 * perSecond) <= settings.repeatSlack);
            assert.ok(ratio < settings.repeatRatio);
        }
    });

    it("allows each of many nodes at least one retry, since a fraction of one could never be used", () => {
        assert.equal(getRetryPolicy(settings, 400).maximumBalance, 1);
    });
});
