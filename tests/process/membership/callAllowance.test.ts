import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallAllowance } from "../../../src/process/membership/callAllowance.ts";

const maximumTurnMilliseconds = 100;

/** Creates a call of two attempts that has timed out, all of whose turns took the same time. */
function createTimedOut(turnMilliseconds: number, turnCount: number, factor: number) {
    const elapsedMilliseconds = turnMilliseconds * turnCount;
    const longMilliseconds = turnMilliseconds > maximumTurnMilliseconds ? elapsedMilliseconds : 0;
    const counts = { turnCount, attemptCount: 2 };
    return { elapsedMilliseconds, longMilliseconds, ...counts, factor, isAnswered: false, isTimedOut: true };
}

describe("CallAllowance", () => {
    it("gives calls more time after one had only long turns, and judges peers by them once they had enough turns", () => {
        const allowance = CallAllowance.create(maximumTurnMilliseconds);
        assert.equal(allowance.noteEnd(createTimedOut(300, 7, 1)), true);
        const factor = allowance.getFactor();
        assert.ok(factor > 4 && factor < 6, `factor ${factor}`);
        assert.equal(allowance.getPostponedFraction(), 1);
        assert.equal(allowance.noteEnd(createTimedOut(300, 29, factor)), true);
        assert.equal(allowance.noteEnd(createTimedOut(300, 34, factor)), false);
        assert.ok(allowance.getPostponedFraction() < 0.9);
    });

    // Guards against peers that are judged later after each long turn of a process that is not starved.
    it("gives calls the usual time after a single long turn, and as soon as answers come in short turns", () => {
        const allowance = CallAllowance.create(maximumTurnMilliseconds);
        const turns = { longMilliseconds: 1_500, turnCount: 3, attemptCount: 2, factor: 1 };
        allowance.noteEnd({ ...turns, elapsedMilliseconds: 1_520, isAnswered: true, isTimedOut: false });
        assert.equal(allowance.getFactor(), 1);
        allowance.noteEnd(createTimedOut(400, 5, 1));
        assert.ok(allowance.getFactor() > 1);
        const short = { elapsedMilliseconds: 5, longMilliseconds: 0, turnCount: 0, attemptCount: 1, factor: 5 };
        allowance.noteEnd({ ...short, isAnswered: true, isTimedOut: false });
        assert.equal(allowance.getFactor(), 1);
        assert.equal(allowance.getPostponedFraction(), 1);
    });

    it("judges no peer by a call that had its usual time in long turns, and bounds the time of calls", () => {
        const allowance = CallAllowance.create(maximumTurnMilliseconds);
        assert.equal(allowance.noteEnd(createTimedOut(2_000, 40, 1)), true);
        assert.equal(allowance.getFactor(), 8);
    });
});
