import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readInstructions } from "../../../src/connection/instructions/readInstructions.ts";

const wallTime = Date.parse("Thu, 03 Dec 2026 12:00:00 GMT");

describe("readInstructions", () => {
    function doTest(status: number, retryAfter: string | undefined, expected: number | undefined) {
        const { pauseMilliseconds } = readInstructions(status, { leaving: undefined, retryAfter }, wallTime);
        assert.equal(pauseMilliseconds, expected, `${status} ${retryAfter}`);
    }

    it("reads the time of a refusal in seconds, with fractions, or as a date", () => {
        doTest(503, "3", 3_000);
        doTest(503, " 0.25 ", 250);
        doTest(503, "Thu, 03 Dec 2026 12:00:02 GMT", 2_000);
    });

    it("ignores a time that is missing, invalid or over, and that of another status", () => {
        for (const text of [undefined, "", "soon", "0", "-1", "Thu, 03 Dec 2026 11:59:00 GMT"]) {
            doTest(503, text, undefined);
        }
        doTest(429, "3", undefined);
        doTest(200, "3", undefined);
    });

    it("bounds the time", () => doTest(503, "1e99", 3_600_000));

    it("reads whether the endpoint is leaving, at any status", () => {
        const isLeaving = (leaving: string | undefined) =>
            readInstructions(200, { leaving, retryAfter: undefined }, wallTime).isLeaving;
        assert.deepEqual(["1", "0", "", undefined].map(isLeaving), [true, false, false, false]);
    });
});
