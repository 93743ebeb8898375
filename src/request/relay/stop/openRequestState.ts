/** What happens to a request that has no final answer yet. */
export const OpenRequestState = {
    /** An endpoint may be at work on it. */
    Running: "running",
    /** A part of its answer was sent, and no endpoint is at work on the rest. */
    Resuming: "resuming",
    /** Nothing of its answer was sent, and no endpoint is at work on it. */
    Waiting: "waiting",
} as const;

/** One of the states. */
export type OpenRequestState = (typeof OpenRequestState)[keyof typeof OpenRequestState];
