/** A suspected crash of an endpoint shortly after it began to run a request. */
export interface SuspectedCrash {
    /** Identifies the request independently of the node that forwards it; see `fingerprintRequest`. */
    fingerprint: string;
    endpointId: string;
    /** Monotonic time at which the connection broke, in milliseconds. */
    at: number;
}
