/** Kinds of answer to an offer. */
export const OfferOutcomeKind = {
    /** The offer is in force now. */
    Accepted: "accepted",
    /** The version in force is the same edit or a newer one. */
    NotNewer: "notNewer",
    /** The text is broken; the version in force stays. */
    Broken: "broken",
    /** Another edit already holds the same version number; the first one stays. */
    Conflict: "conflict",
    /** The version is not a whole number from 1. */
    InvalidVersion: "invalidVersion",
} as const;
export type OfferOutcomeKind = typeof OfferOutcomeKind[keyof typeof OfferOutcomeKind];
