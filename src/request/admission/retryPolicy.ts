/** How many retries a node may send. */
export interface RetryPolicy {
    /** Retries allowed for each request. */
    ratio: number;
    /** Retries a second that are allowed besides, so that a node with few requests can retry at all. */
    perSecond: number;
    /** Most retries that are saved up. */
    maximumBalance: number;
}
