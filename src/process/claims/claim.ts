/** A request's claim on an idempotency key. */
export interface Claim {
    /** The customer's name, a slash and a UUID version 7 in lower case. */
    key: string;
    /** Hash of the request's body and path. */
    bodyHash: string;
    /**
     * Unique per claiming request. A claimant acts on the first final verdict that it receives and asks
     * no more afterwards; it may ask again, here or at another owner, while it has received none.
     */
    claimant: string;
    /** Node that would run the request. */
    nodeId: string;
}
