import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { maximumRefusals } from "../../../../src/request/relay/answers/maximumRefusals.ts";
import type { DocumentAttempt } from "../../../../src/request/relay/documents/documentAttempt.ts";
import type { DocumentAttemptEnd } from "../../../../src/request/relay/documents/documentAttemptEnd.ts";
import { DocumentAttempts } from "../../../../src/request/relay/documents/documentAttempts.ts";
import { createEndpoint } from "../relayModel.ts";

const cause = "why";

function createAttempt(): DocumentAttempt {
    const reservation = { release: () => undefined };
    return { endpoint: createEndpoint("1"), sentAt: 0, reservation, exchange: undefined, head: undefined, chunks: [] };
}

/** Runs attempts one after the other, and checks after each if another one is allowed. */
function listAllowed(maximumAttempts: number, ends: readonly DocumentAttemptEnd[]): boolean[] {
    const attempts = DocumentAttempts.create(maximumAttempts);
    return ends.map(end => {
        const attempt = createAttempt();
        attempts.add(attempt);
        if (end.isNotRun && end.isUnsent !== true) {
            attempts.noteRefusal();
        }
        attempts.end(attempt, end);
        return attempts.isAnotherAllowed();
    });
}

// Guards against requests that are sent more often than their route allows, or refused although no endpoint has run them.
describe("DocumentAttempts", () => {
    const run = { isNotRun: false, cause };
    const refused = { isNotRun: true, cause };
    const unsent = { isNotRun: true, isUnsent: true, cause };
    const pathLost = { isNotRun: false, isPathLost: true, cause };
    const refusals = Array.from({ length: maximumRefusals + 1 }, () => refused);

    it("counts attempts that may have run, except those whose path was lost, and refusals up to a number of them", () => {
        assert.deepEqual(listAllowed(2, [run, run]), [true, false]);
        assert.deepEqual(listAllowed(1, [unsent, pathLost, run]), [true, true, false]);
        assert.deepEqual(listAllowed(1, refusals), [...refusals.slice(1).map(() => true), false]);
    });

    it("allows no attempt beside a running one that uses up the route's maximum", () => {
        const attempts = DocumentAttempts.create(1);
        assert.ok(!attempts.isHedgeAllowed());
        attempts.add(createAttempt());
        assert.ok(!attempts.isAnotherAllowed());
        assert.ok(!attempts.isHedgeAllowed());
    });
});
