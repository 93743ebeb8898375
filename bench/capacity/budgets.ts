/** Limits that the requirements and the platform set. */
export const budgets = {
    /** Processor time of a node's control work in milliseconds per second: 2.6% of a core. */
    controlMilliseconds: 26,
    /** Memory of a node. */
    controlMegabytes: 128,
    /** Bytes of a node's control traffic per second, both directions. */
    controlKilobytes: 17,
    /** Writes per second; the platform is only specified to take several hundred. */
    storeWrites: 500,
    /** Reads per second. */
    storeReads: 2_000,
} as const;
