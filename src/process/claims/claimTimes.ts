/** Fixed durations of the claim log. */
export const claimTimes = {
    /** How far in the future a key's issue time may be. */
    futureToleranceMilliseconds: 60_000,
    /** How long a slot is kept after the window, to allow for clock skew between nodes. */
    clockMarginMilliseconds: 60_000,
} as const;
