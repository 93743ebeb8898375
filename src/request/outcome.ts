/** How a request ended. Every request gets exactly one of these. */
export const Outcome = {
    /** The whole answer was given. */
    Finished: "finished",
    /** This sending surely did not and will not run, and no earlier one with its key is known: the caller may ask again. */
    NotRun: "notRun",
    /** This sending did not run; whether an earlier one with the same key did cannot be told now. */
    Undecided: "undecided",
    /** Started; whether it took effect is not known; never repeated. */
    OutcomeUnknown: "outcomeUnknown",
    /** Started and failed. */
    Failed: "failed",
    /** The request itself is wrong; nothing ran. */
    Invalid: "invalid",
    /** An earlier request with the same key is running. */
    Running: "running",
    /** The caller went away. */
    Cancelled: "cancelled",
} as const;
export type Outcome = typeof Outcome[keyof typeof Outcome];
