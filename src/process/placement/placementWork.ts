/** What is to be done for a service. */
export interface PlacementWork {
    /** Whether a plan is missing or orders are due, for which a candidate acquires the lease. */
    isDue: boolean;
    /** Whether orders are pending or will be due soon, for which a holder keeps the lease. */
    isPending: boolean;
    /** Monotonic time in milliseconds of the next check; Infinity if none is needed before an event. */
    nextCheckAt: number;
}
