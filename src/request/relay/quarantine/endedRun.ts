/** An endpoint that ended, as it seems, soon after it began to run a request. */
export interface EndedRun {
    /** What the request is recognized by, whoever sends it on; see `fingerprintRequest`. */
    fingerprint: string;
    endpointId: string;
    /** Monotonic time at which its connection broke, in milliseconds. */
    at: number;
}
