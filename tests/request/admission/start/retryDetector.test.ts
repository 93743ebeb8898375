import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RetryDetector } from "../../../../src/request/admission/start/retryDetector.ts";

/** Creates an instance that has learned that new requests have deadlines of 17 to 20 s. */
function createLearned(): RetryDetector {
    const detector = RetryDetector.create();
    for (let index = 0; index < 60; index++) {
        detector.observeRequest("r", 17_000 + 50 * index, index);
    }
    return detector;
}

describe("RetryDetector", () => {
    it("detects a shorter deadline than usual as a retry after a refusal", () => {
        const detector = createLearned();
        detector.observeRefusal(1_000);
        assert.equal(detector.observeRequest("r", 13_000, 3_000), true);
        assert.equal(detector.observeRequest("r", 18_000, 3_000), false);
        assert.equal(detector.observeRequest("r", undefined, 3_000), false);
        assert.equal(detector.observeRequest("another", 13_000, 3_000), false);
    });

    it("detects no retries without a recent refusal, and learns the deadlines", () => {
        const detector = createLearned();
        for (let index = 0; index < 200; index++) {
            assert.equal(detector.observeRequest("r", 5_000, 1_000 + index), false);
        }
        detector.observeRefusal(2_000);
        assert.equal(detector.observeRequest("r", 5_000, 2_100), false);
    });

    it("does not learn from retries", () => {
        const detector = createLearned();
        detector.observeRefusal(1_000);
        for (let index = 0; index < 200; index++) {
            detector.observeRequest("r", 13_000, 1_000 + index);
        }
        assert.equal(detector.observeRequest("r", 13_000, 2_000), true);
    });
});
