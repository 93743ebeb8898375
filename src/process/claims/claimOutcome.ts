/** Outcomes of a claim. The values are those of the peer protocol. */
export const ClaimOutcome = {
    /** Only this claimant may run the request, once. */
    Granted: "granted",
    /** Another claimant has claimed the key, or may have. */
    Taken: "taken",
    /** The key was claimed for another body. */
    BodyMismatch: "body_mismatch",
    /** The key's issue time is outside the window, or the key is malformed. */
    TooOld: "too_old",
    /** This node does not own the shard. Retry at the owner as the same claimant. The only outcome that is not final. */
    NotOwner: "not_owner",
    /** Not granted: the store did not respond in time, or the shard is full. The claimant must not run the request. */
    Unavailable: "unavailable",
} as const;
export type ClaimOutcome = typeof ClaimOutcome[keyof typeof ClaimOutcome];
