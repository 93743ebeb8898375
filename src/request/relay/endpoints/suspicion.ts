/** An endpoint that new requests should avoid, as reported to peers. */
export interface Suspicion {
    endpointId: string;
    remainingMilliseconds: number;
    /** Whether its own state shows that it refuses new requests, even if it still serves its running ones. */
    isRefusing: boolean;
}
