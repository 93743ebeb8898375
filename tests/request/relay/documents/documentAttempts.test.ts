import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { maximumRefusals } from "../../../../src/request/relay/answers/maximumRefusals.ts";
import type { DocumentAttempt } from "../../../../src/request/relay/documents/documentAttempt.ts";
import type { DocumentAttemptEnd } from "../../../../src/request/relay/documents/documentAttemptEnd.ts";
import { DocumentAttempts } from "../../../../src/request/relay/documents/documentAttempts.ts";
import type { PossibleRun } from "../../../../src/request/relay/possibleRun.ts";
import { PossibleRuns } from "../../../../src/request/relay/possibleRuns.ts";
import { createEndpoint } from "../relayModel.ts";

const cause = "why";

function createAttempt(id = "1", isSent = true): DocumentAttempt {
    const reservation = { release: () => undefined };
    const endpoint = createEndpoint(id);
    const run = { endpoint, isBroken: false, getSentTime: () => isSent ? 1 : undefined };
    return { endpoint, run, sentAt: 0, reservation, exchange: undefined, head: undefined, chunks: [] };
}

function createAttempts(maximumAttempts: number, endedIds: readonly string[] = []): DocumentAttempts {
    const ends = { hasEnded: ({ endpoint }: PossibleRun) => endedIds.includes(endpoint.id) };
    return DocumentAttempts.create(PossibleRuns.create(ends, maximumAttempts), maximumAttempts);
}

/**
 * Runs attempts one after the other, each at another endpoint, and checks after each which endpoints may receive the request again.
 * @returns Their ids, or "any".
 */
function listAllowed(maximumAttempts: number, ends: readonly DocumentAttemptEnd[], endedIds?: string[]): string[] {
    const attempts = createAttempts(maximumAttempts, endedIds);
    return ends.map((end, index) => {
        const attempt = createAttempt(String(index + 1), end.isUnsent !== true);
        attempts.add(attempt);
        if (end.isNotRun && end.isUnsent !== true) {
            attempts.noteRefusal();
        }
        attempts.end(attempt, end);
        const only = attempts.getOnlyAllowedIds();
        return only === undefined ? "any" : [...only].join();
    });
}

// Guards against requests that are sent more often than their route allows, or refused although no endpoint has run them.
describe("DocumentAttempts", () => {
    const run = { isNotRun: false, cause };
    const refused = { isNotRun: true, cause };
    const unsent = { isNotRun: true, isUnsent: true, cause };
    const pathLost = { isNotRun: false, isPathLost: true, cause };
    const refusals = Array.from({ length: maximumRefusals + 1 }, () => refused);

    it("counts endpoints that may have run, also those whose path seems lost, and refusals up to a number of them", () => {
        assert.deepEqual(listAllowed(2, [run, run]), ["any", "1,2"]);
        assert.deepEqual(listAllowed(2, [pathLost, pathLost]), ["any", "1,2"]);
        assert.deepEqual(listAllowed(1, [unsent, pathLost]), ["any", "2"]);
        assert.deepEqual(listAllowed(1, refusals).slice(0, -1), refusals.slice(1).map(() => "any"));
        assert.notEqual(listAllowed(1, refusals).at(-1), "any");
    });

    it("doesn't count endpoints that have ended", () => {
        assert.deepEqual(listAllowed(1, [run, run], ["1"]), ["any", "2"]);
    });

    it("allows no attempt beside a running one that uses up the route's maximum", () => {
        const attempts = createAttempts(1);
        assert.ok(!attempts.isHedgeAllowed());
        attempts.add(createAttempt());
        assert.deepEqual([...attempts.getOnlyAllowedIds() ?? []], ["1"]);
        assert.ok(!attempts.isHedgeAllowed());
    });
});
