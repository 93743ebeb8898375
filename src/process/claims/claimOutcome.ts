/** Outcomes of a claim; the values are those of the peer protocol. */
export const ClaimOutcome = {
    /** The claimant alone may run the request, once. */
    Granted: "granted",
    /** Another claimant has the key, or may have it. */
    Taken: "taken",
    /** The key was claimed with another body. */
    BodyMismatch: "body_mismatch",
    /** The key's issue time is outside the window, or the key is malformed. */
    TooOld: "too_old",
    /** Not answered here: ask the owner of the shard, as the same claimant. The only outcome that is not final. */
    NotOwner: "not_owner",
    /** Not granted: the platform's service did not answer in time. The claimant never runs the request. */
    Unavailable: "unavailable",
} as const;
export type ClaimOutcome = typeof ClaimOutcome[keyof typeof ClaimOutcome];
