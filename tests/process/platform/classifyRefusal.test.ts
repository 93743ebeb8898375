import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallEffect } from "../../../src/process/platform/callEffect.ts";
import { classifyRefusal } from "../../../src/process/platform/classifyRefusal.ts";
import { PlatformErrorKind } from "../../../src/process/platform/platformError.ts";

describe("classifyRefusal", () => {
    function doTest(status: number, effect: CallEffect, expected: PlatformErrorKind) {
        it(`returns ${expected} for a ${effect} with status ${status}`, () => {
            assert.equal(classifyRefusal(status, "not JSON", effect).kind, expected);
        });
    }

    doTest(400, CallEffect.Write, PlatformErrorKind.NotDone);
    doTest(404, CallEffect.Write, PlatformErrorKind.NotDone);
    doTest(408, CallEffect.Write, PlatformErrorKind.OutcomeUnknown);
    doTest(429, CallEffect.Write, PlatformErrorKind.NotDone);
    doTest(503, CallEffect.Write, PlatformErrorKind.OutcomeUnknown);
    doTest(503, CallEffect.Read, PlatformErrorKind.NotDone);
});
