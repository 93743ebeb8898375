/** Limits that the requirements and the platform set. */
export const budgets = {
    /** Processor time of a node's control work in milliseconds per second: 2.6% of a core. */
    controlMillisecondsPerSecond: 26,
    /** Memory of a node. */
    memoryMegabytes: 128,
    /** Bytes of a node's control traffic per second, both directions. */
    controlKilobytesPerSecond: 17,
    /** Writes per second; the platform is only specified to take several hundred. */
    storeWritesPerSecond: 500,
    /** Reads per second. */
    storeReadsPerSecond: 2_000,
} as const;
