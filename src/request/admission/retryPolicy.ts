/** Limits of the retries that a node may send. */
export interface RetryPolicy {
    /** Retries allowed for each request. */
    ratio: number;
    /** Additional retries allowed per second, so that a node with few requests can retry at all. */
    perSecond: number;
    /** Maximum number of unused retries that accumulate. */
    maximumBalance: number;
}
