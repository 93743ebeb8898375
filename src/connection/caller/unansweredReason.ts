/** Why requests that were read got no answer before their connection closed. */
export const UnansweredReason = {
    /** They came after the head of an answer that announced the close of the connection. */
    AnnouncedClose: "announced close",
    /** An answer before them was aborted. */
    AbortedAnswer: "aborted answer",
    /** Bytes that are no request, or a timeout, came behind them. */
    InvalidInput: "invalid input",
    /** The process held too much for the caller, who did not read answers or sent too much at once. */
    MemoryLimit: "memory limit",
    /** None of the others. */
    Closed: "closed",
} as const;

/** One of the reasons. */
export type UnansweredReason = (typeof UnansweredReason)[keyof typeof UnansweredReason];
