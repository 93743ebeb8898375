import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventVerdict } from "../../../../src/request/relay/streams/eventVerdict.ts";
import { StreamProgress } from "../../../../src/request/relay/streams/streamProgress.ts";

describe("StreamProgress", () => {
    it("passes only events with increasing ids, and detects a missing one", () => {
        const progress = StreamProgress.create(3, 0);
        const verdicts = [3, 4, 5, 4, undefined, 7, 6].map(id => progress.accept(id, 0));
        const { Pass, Repeat, Gap } = EventVerdict;
        assert.deepEqual(verdicts, [Repeat, Pass, Pass, Repeat, Pass, Gap, Pass]);
        assert.equal(progress.getLastId(), 6);
    });

    it("allows gaps between ids if there were gaps before", () => {
        const progress = StreamProgress.create(0, 0);
        assert.deepEqual([5, 10, 20].map(id => progress.accept(id, 0)), ["pass", "pass", "pass"]);
    });

    it("allows as many events as the answer may have tokens, and a few more, wherever the ids begin", () => {
        for (const lastId of [0, 1_000]) {
            const progress = StreamProgress.create(lastId, 100);
            for (let id = lastId + 1; id <= lastId + 108; id++) {
                assert.equal(progress.accept(id, 0), EventVerdict.Pass);
            }
            assert.equal(progress.accept(undefined, 0), EventVerdict.Pass);
            assert.equal(progress.accept(lastId + 109, 0), EventVerdict.Excess);
        }
    });

    it("measures the time of the first event and the longest gap", () => {
        const progress = StreamProgress.create(0, 0);
        for (const [id, now] of [[1, 100], [2, 150], [3, 400], [4, 420]] as const) {
            progress.accept(id, now);
        }
        assert.equal(progress.getFirstTime(), 100);
        assert.equal(progress.getLongestGap(), 250);
    });

    it("passes each event once and in order for any sequence of attempts", () => {
        const run = fc.record({ skipped: fc.integer({ min: 0, max: 4 }), length: fc.integer({ min: 0, max: 6 }) });
        fc.assert(fc.property(fc.array(run, { maxLength: 8 }), runs => {
            const progress = StreamProgress.create(0, 0);
            const passed: number[] = [];
            for (const { skipped, length } of runs) {
                // An attempt resumes after the last event, or some events earlier.
                const first = Math.max(0, progress.getLastId() - skipped) + 1;
                for (let id = first; id < first + length; id++) {
                    if (progress.accept(id, 0) === EventVerdict.Pass) {
                        passed.push(id);
                    }
                }
            }
            assert.deepEqual(passed, passed.map((_, index) => index + 1));
        }));
    });
});
