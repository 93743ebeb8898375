import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnswerTimes } from "../../../../src/request/relay/stop/answerTimes.ts";

describe("AnswerTimes", () => {
    it("covers nine in ten answers of a route, in proportion to their size", () => {
        const times = AnswerTimes.create();
        assert.equal(times.getExpected("a", 10), 0);
        for (let index = 0; index < 500; index++) {
            times.record("a", 100 * (1 + index % 10), 10);
            times.record("b", 20, 1);
        }
        const expected = times.getExpected("a", 10);
        assert.ok(expected >= 900 && expected <= 1_300, `${expected} ms`);
        assert.equal(Math.round(times.getExpected("a", 20)), Math.round(2 * expected));
        assert.equal(Math.round(times.getExpected("b", 1)), 20);
    });
});
