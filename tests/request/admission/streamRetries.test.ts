import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RetryBudget } from "../../../src/request/admission/retryBudget.ts";
import { StreamRetries } from "../../../src/request/admission/streamRetries.ts";

/** Creates the retries of a node that gets none back. */
function createRetries(balance: number, maximumBalance: number) {
    const budget = RetryBudget.create(0, () => ({ ratio: 0, perSecond: 0, maximumBalance }));
    while (budget.takeRetry(0)) {
        continue;
    }
    budget.receive(balance - budget.getBalance(0), 0);
    const needs: number[] = [];
    return { budget, needs, retries: StreamRetries.create({ budget, onNeed: now => needs.push(now) }) };
}

describe("StreamRetries", () => {
    const other = {};
    const streams = [{}, {}, {}, {}, {}, {}];

    // Guards against streams that can't continue because requests that could be refused have used up the budget.
    it("keeps a retry for each stream that has begun, up to a bound", () => {
        const doTest = (maximum: number, begun: number, expected: number) => {
            const { retries } = createRetries(1, maximum);
            for (const stream of streams.slice(0, begun)) {
                retries.noteBegun(stream);
            }
            assert.equal(retries.getKept(0), expected, `${begun} of ${maximum}`);
        };
        doTest(20, 0, 1);
        doTest(20, 3, 3);
        doTest(20, 6, 4);
        doTest(3, 6, 1.5);
        doTest(1, 6, 0);
    });

    it("gives a retry that is kept to a stream that has begun only", () => {
        const { retries } = createRetries(2, 10);
        retries.noteBegun(streams[0]!);
        assert.ok(retries.take(other, 0));
        assert.ok(!retries.take(other, 0));
        assert.ok(retries.take(streams[0]!, 0));
    });

    // Guards against requests that find the budget used up while it holds a retry beyond the one that streams which have begun can use.
    it("keeps whole retries", () => {
        const { retries } = createRetries(2, 3);
        for (const stream of streams) {
            retries.noteBegun(stream);
        }
        assert.ok(retries.take(other, 0));
        assert.ok(!retries.take(other, 0));
        assert.ok(retries.take(streams[0]!, 0));
    });

    it("leaves further retries to other requests if asked to", () => {
        const { retries } = createRetries(2, 10);
        assert.ok(!retries.take(other, 0, 1));
        assert.ok(retries.take(other, 0));
    });

    it("gives no retry to other requests while streams wait, also if the budget holds only one", () => {
        const { budget, retries, needs } = createRetries(0, 1);
        retries.noteBegun(streams[0]!);
        assert.ok(!retries.isAvailable(streams[0]!, 5));
        assert.deepEqual(needs, [5]);
        assert.equal(retries.getNeed(5), 1);
        budget.receive(1, 5);
        assert.equal(retries.getNeed(5), 0);
        assert.ok(!retries.take(other, 5));
        assert.ok(retries.take(streams[0]!, 5));
    });

    it("forgets streams that have ended or search no more", () => {
        const { budget, retries } = createRetries(0, 1);
        for (const stream of streams) {
            retries.noteBegun(stream);
            retries.isAvailable(stream, 0);
        }
        retries.noteEnd(streams[0]!);
        assert.equal(retries.getNeed(999), streams.length - 1);
        assert.equal(retries.getNeed(1_000), 0);
        budget.receive(1, 1_000);
        assert.ok(retries.take(other, 1_000));
    });

    it("asks for nothing on behalf of requests that have not begun", () => {
        const { retries, needs } = createRetries(0, 10);
        assert.ok(!retries.isAvailable(other, 0));
        assert.deepEqual(needs, []);
        assert.equal(retries.getNeed(0), 0);
    });
});
