/** A request's claim on an idempotency key: it asks to be the only request with this key that runs. */
export interface Claim {
    /** Customer name, a slash and a UUID version 7 in lower case. */
    key: string;
    /** Hash of the request's body and path. */
    bodyHash: string;
    /**
     * Unique per claiming request. A claimant acts on the first final verdict that it receives and does not claim
     * again. Until then it may retry, with this owner or another one.
     */
    claimant: string;
    /** Node that would run the request. */
    nodeId: string;
}
