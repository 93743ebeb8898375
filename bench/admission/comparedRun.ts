/** Parameters that the runs comparing the gates have in common. */
export const comparedRun = {
    /** Maximum number of concurrent requests. */
    concurrencyLimit: 64,
    millisecondsPerToken: 20,
    /** Mean length of answers before they are capped. */
    meanTokens: 250,
} as const;
