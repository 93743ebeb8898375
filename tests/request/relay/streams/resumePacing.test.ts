import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ResumePacing } from "../../../../src/request/relay/streams/resumePacing.ts";

describe("ResumePacing", () => {
    // Guards against a stream that spends the retry budget of its node on endpoints that are full, within milliseconds.
    it("pauses longer after each refusal beyond the first, until the stream makes progress", () => {
        const pacing = ResumePacing.create();
        const pauses = [0, 1_000, 2_000, 3_000, 4_000].map(now => {
            pacing.noteRefusal("1", now);
            return pacing.getPause(now);
        });
        assert.deepEqual(pauses, [0, 100, 200, 400, 400]);
        assert.equal(pacing.getPause(4_400), 0);
        pacing.noteRefusal("1", 5_000);
        pacing.noteProgress();
        assert.equal(pacing.getPause(5_000), 0);
        assert.ok(pacing.mayTrySuspects(5_000));
    });

    it("lists the endpoints that have just refused the request", () => {
        const pacing = ResumePacing.create();
        pacing.noteRefusal("1", 0);
        pacing.noteRefusal("2", 200);
        assert.deepEqual(pacing.listRefusing(299), ["1", "2"]);
        assert.deepEqual(pacing.listRefusing(300), ["2"]);
    });

    it("tries suspect endpoints again some time after the last refusal", () => {
        const pacing = ResumePacing.create();
        pacing.noteRefusal("1", 0);
        assert.ok(pacing.mayTrySuspects(0));
        pacing.noteRefusal("2", 0);
        assert.ok(!pacing.mayTrySuspects(499));
        assert.ok(pacing.mayTrySuspects(500));
    });
});
