/** How a request ended. Every request has exactly one outcome. */
export const Outcome = {
    /** The complete answer was sent. */
    Finished: "finished",
    /** This attempt certainly did not run, and no earlier attempt with its key is known, so the caller may retry. */
    NotRun: "notRun",
    /** This attempt did not run, but an earlier attempt with the same key may have. */
    Undecided: "undecided",
    /** Started, and it is unknown whether it took effect; never retried. */
    OutcomeUnknown: "outcomeUnknown",
    /** Started and failed. */
    Failed: "failed",
    /** The request is invalid; nothing ran. */
    Invalid: "invalid",
    /** An earlier request with the same key is running. */
    Running: "running",
    /** The caller disconnected. */
    Cancelled: "cancelled",
} as const;
export type Outcome = typeof Outcome[keyof typeof Outcome];
