/** An endpoint that new requests keep away from, for the peers. */
export interface Suspicion {
    endpointId: string;
    remainingMilliseconds: number;
    /** Whether it refuses new requests, as its own state shows, also while it still serves those that it has. */
    isRefusing: boolean;
}
