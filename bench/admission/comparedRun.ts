/** Of the runs that compare the gates. */
export const comparedRun = {
    /** Requests that run at the same time. */
    places: 64,
    millisecondsPerToken: 20,
    /** Mean length of an answer without a bound. */
    meanTokens: 250,
} as const;
