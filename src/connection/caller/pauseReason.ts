/** Why a caller's connection is not read for some time. */
export const PauseReason = {
    /** It had its share of this turn of the event loop. */
    Turn: "turn",
    /** Too many of its requests are unanswered. */
    Requests: "requests",
} as const;

/** One of the reasons. */
export type PauseReason = (typeof PauseReason)[keyof typeof PauseReason];
