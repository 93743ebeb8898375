import { brokenOffCause } from "./brokenOffCause.ts";
import type { StreamAnswerEnd } from "./streamAnswerEnd.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";

/** How an answer ended that does not complete the stream. */
type IncompleteAnswerEnd = Exclude<StreamAnswerEnd, { kind: "whole"; }>;

/**
 * Gets what the end of an incomplete answer means for the attempt.
 * @param end - How the answer ended.
 * @param firstId - Id of the first stage, which sent the answer.
 */
export function describeIncompleteAnswer(end: IncompleteAnswerEnd, firstId: string): StreamAttemptEnd {
    switch (end.kind) {
        case "refused": {
            const cause = `the endpoint refused the request (${end.head.status}).`;
            return { isNotRun: true, cause, avoid: [] };
        }
        case "failed": {
            const { head, answer } = end;
            const cause = `the endpoint answered ${head.status}${head.isSigned ? "" : " without a signature"}.`;
            return { isNotRun: false, cause, avoid: [firstId], failure: answer };
        }
        case "cut":
            return { isNotRun: false, cause: brokenOffCause, avoid: [firstId] };
        case "oversized": {
            const cause = `the endpoint sent more than ${end.maximumBytes} bytes without an event.`;
            return { isNotRun: false, cause, avoid: [firstId] };
        }
        case "invalid":
            return { isNotRun: false, cause: "the endpoint sent bytes that are no event.", avoid: [firstId] };
        case "foreign":
            return { isNotRun: false, cause: "the answer belongs to another request.", avoid: [firstId] };
    }
}
