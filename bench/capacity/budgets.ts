/** Limits that the letter and the platform set. */
export const budgets = {
    /** 2.6% of a core, in milliseconds a second. */
    controlMilliseconds: 26,
    controlMegabytes: 128,
    controlKilobytes: 17,
    /** Several hundred writes a second; a choice of what that means. */
    storeWrites: 500,
    storeReads: 2_000,
} as const;
