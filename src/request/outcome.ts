/** How a request ended. Every request gets exactly one of these. */
export const Outcome = {
    /** The whole answer was given. */
    Finished: "finished",
    /** Surely not run: the caller may ask again. */
    NotRun: "notRun",
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
