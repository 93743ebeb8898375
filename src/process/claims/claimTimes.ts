/** Fixed times of the claim log, in milliseconds. */
export const claimTimes = {
    /** How far in the future a key's issue time may be. */
    futureToleranceMilliseconds: 60_000,
    /** How long past the window a slot is kept, because the nodes' clocks differ. */
    clockMarginMilliseconds: 60_000,
} as const;
