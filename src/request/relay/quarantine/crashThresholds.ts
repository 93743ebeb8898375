/** Numbers of crashed endpoints from which on a suspect is judged differently. */
export const crashThresholds = {
    /**
     * Minimum for a suspect to be held back. A single crash is weak evidence: all requests that the endpoint was just beginning to run
     * are suspected, and nearly all of them are harmless. Continuing after the second crash costs another endpoint for each attempt.
     */
    minimum: 2,
    /** From this number of crashes on, the cause is not a coincidence. */
    certain: 3,
} as const;
