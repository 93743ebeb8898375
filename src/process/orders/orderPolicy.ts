/** Limits of the orders to engines. */
export interface OrderPolicy {
    /** Number of engines that should hold each layer of a model that a service uses. */
    wantedHolders: number;
    /**
     * Time for which an unreachable engine still counts as a holder, and for which a recovered engine is given no load,
     * in milliseconds. Prevents short freezes of engines from causing loads.
     */
    gracePeriodMilliseconds: number;
    /** Most loads in progress at the same time. The weight store is rate-limited. */
    maximumConcurrentLoads: number;
    /** Most loads that may start within any minute. */
    maximumLoadsPerMinute: number;
    /** Time after which a load fails if the engine has not reported its layers, in milliseconds. */
    loadDeadlineMilliseconds: number;
    /** Time for which an engine that failed to load is given no other load, in milliseconds. */
    retryDelayMilliseconds: number;
}

/** Default limits. */
export const OrderPolicy: Readonly<OrderPolicy> = {
    wantedHolders: 1,
    gracePeriodMilliseconds: 3_000,
    maximumConcurrentLoads: 4,
    maximumLoadsPerMinute: 12,
    loadDeadlineMilliseconds: 120_000,
    retryDelayMilliseconds: 60_000,
};
