import type { AnswerInstructions } from "./answerInstructions.ts";

/** Raw values of the headers that carry instructions; undefined if the answer has no such header. */
interface InstructionHeaders {
    /** Announces that the endpoint is leaving, unless it is empty or "0". */
    leaving: string | string[] | undefined;
    /** `Retry-After` of RFC 9110, section 10.2.3: seconds, which may have a fraction, or an HTTP date. */
    retryAfter: string | string[] | undefined;
}

const unavailableStatus = 503;
const millisecondsPerSecond = 1_000;
/** A longer time is more likely an error of the endpoint than its wish. */
const maximumPauseMilliseconds = 3_600_000;

/**
 * Reads the instructions of an endpoint's answer. A time without requests counts only with the status 503: with others,
 * `Retry-After` concerns the caller alone.
 * @param status - Status of the answer.
 * @param headers - Raw header values.
 * @param wallTime - Unix time in milliseconds, to which an HTTP date is compared.
 */
export function readInstructions(status: number, headers: InstructionHeaders, wallTime: number): AnswerInstructions {
    const leaving = getFirst(headers.leaving)?.trim() ?? "";
    return {
        isLeaving: leaving !== "" && leaving !== "0",
        pauseMilliseconds: status === unavailableStatus
            ? parseRetryAfter(getFirst(headers.retryAfter), wallTime)
            : undefined,
    };
}

/** Parses a retry delay. Returns undefined if it is missing, invalid or not in the future. */
function parseRetryAfter(text: string | undefined, wallTime: number): number | undefined {
    const trimmed = text?.trim() ?? "";
    if (trimmed === "") {
        return undefined;
    }
    const seconds = Number(trimmed);
    const milliseconds = Number.isNaN(seconds) ? Date.parse(trimmed) - wallTime : seconds * millisecondsPerSecond;
    return milliseconds > 0 ? Math.min(milliseconds, maximumPauseMilliseconds) : undefined;
}

function getFirst(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
