import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getRepeatPolicy } from "../../../src/process/router/getRepeatPolicy.ts";

const settings = { repeatRatio: 0.2, repeatSlack: 200, repeatWindowMilliseconds: 10_000 };

describe("getRepeatPolicy", () => {
    it("lets all nodes together repeat no more in a window than they may beside the ratio", () => {
        for (const nodeCount of [1, 9, 63, 100]) {
            const { perSecond, maximumBalance, ratio } = getRepeatPolicy(settings, nodeCount);
            assert.ok(nodeCount * (maximumBalance + 10 * perSecond) <= settings.repeatSlack);
            assert.ok(ratio < settings.repeatRatio);
        }
    });

    it("leaves one repeat at least to each of many nodes, since a part of one could never be used", () => {
        assert.equal(getRepeatPolicy(settings, 400).maximumBalance, 1);
    });
});
