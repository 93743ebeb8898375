/** A suspected crash of an endpoint shortly after it began to run a request. */
export interface SuspectedCrash {
    /**
     * The suspect: identifies the request independently of the node that forwards it, see `fingerprintRequest`, or a part of its prompt,
     * see `fingerprintParts`.
     */
    fingerprint: string;
    /** Id of the endpoint, which is new with each of its starts; see `RegisteredEndpoint`. */
    endpointId: string;
    /**
     * Monotonic time of this node at which the connection broke, in milliseconds. Computed from the crash's age if a peer
     * reported it or it was read from the store.
     */
    at: number;
    /** Whether no node could connect to the endpoint right after. */
    isDown?: boolean;
    /** Whether the request was a canary for this suspect. */
    isCanary?: boolean;
    /** Whether the connection broke so soon after sending that the endpoint may have crashed before the request arrived. */
    isSudden?: boolean;
}
