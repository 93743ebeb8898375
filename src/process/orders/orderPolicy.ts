/** Numbers that bound the orders to engines. */
export interface OrderPolicy {
    /** Serving engines that each layer of a used model should have. */
    wantedHolders: number;
    /**
     * An engine that went unreachable counts as a holder for this long, and one that came back is given no load for
     * this long, in milliseconds: a short freeze moves no weights.
     */
    graceMilliseconds: number;
    /** Most loads under way at the same time; the weight store is rate-limited. */
    maximumLoads: number;
    /** Most loads that start within any minute. */
    maximumLoadsPerMinute: number;
    /** A load that has not shown in the engine's report by then is given up, in milliseconds. */
    loadDeadlineMilliseconds: number;
    /** An engine that failed to load is given no other load for this long, in milliseconds. */
    retryMilliseconds: number;
}

/** The numbers in use. They are choices, not measurements: no weight store has been measured yet. */
export const OrderPolicy: Readonly<OrderPolicy> = {
    wantedHolders: 1,
    graceMilliseconds: 3_000,
    maximumLoads: 4,
    maximumLoadsPerMinute: 12,
    loadDeadlineMilliseconds: 120_000,
    retryMilliseconds: 60_000,
};
