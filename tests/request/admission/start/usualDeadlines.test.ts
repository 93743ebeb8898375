import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UsualDeadlines } from "../../../../src/request/admission/start/usualDeadlines.ts";

/** Creates an instance that has learned that new requests have deadlines of 17 to 20 s. */
function createLearned(): UsualDeadlines {
    const deadlines = UsualDeadlines.create();
    for (let index = 0; index < 60; index++) {
        deadlines.note("r", 17_000 + 50 * index, index);
    }
    return deadlines;
}

describe("RetryDetector", () => {
    it("detects a shorter deadline than usual as a retry after a refusal", () => {
        const deadlines = createLearned();
        deadlines.noteRefusal(1_000);
        assert.equal(deadlines.note("r", 13_000, 3_000), true);
        assert.equal(deadlines.note("r", 18_000, 3_000), false);
        assert.equal(deadlines.note("r", undefined, 3_000), false);
        assert.equal(deadlines.note("another", 13_000, 3_000), false);
    });

    it("detects no retries without a recent refusal, and learns the deadlines", () => {
        const deadlines = createLearned();
        for (let index = 0; index < 200; index++) {
            assert.equal(deadlines.note("r", 5_000, 1_000 + index), false);
        }
        deadlines.noteRefusal(2_000);
        assert.equal(deadlines.note("r", 5_000, 2_100), false);
    });

    it("does not learn from retries", () => {
        const deadlines = createLearned();
        deadlines.noteRefusal(1_000);
        for (let index = 0; index < 200; index++) {
            deadlines.note("r", 13_000, 1_000 + index);
        }
        assert.equal(deadlines.note("r", 13_000, 2_000), true);
    });
});
