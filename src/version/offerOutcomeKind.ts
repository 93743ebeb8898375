/** Kinds of results of an offer. */
export const OfferOutcomeKind = {
    /** The offered version is now in force. */
    Accepted: "accepted",
    /** The version in force is the same edit or a newer version. */
    NotNewer: "notNewer",
    /** The text is invalid. The version in force is kept. */
    Broken: "broken",
    /** Another edit with the same version number is in force and is kept. */
    Conflict: "conflict",
    /** The version is not a positive integer. */
    InvalidVersion: "invalidVersion",
} as const;
export type OfferOutcomeKind = typeof OfferOutcomeKind[keyof typeof OfferOutcomeKind];
