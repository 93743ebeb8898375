/** Kinds of failure of an edit. */
export const ApplyErrorKind = {
    /** The text is broken; nothing was written. */
    BrokenText: "brokenText",
    /** The value would be larger than the store takes; nothing was written. */
    TooLarge: "tooLarge",
    /** The text changes the numbers of the claim log; nothing was written. */
    ClaimsChanged: "claimsChanged",
    /** Another edit came first; nothing was written. */
    LostRace: "lostRace",
    /** The store did not do it; nothing was written. */
    StoreUnavailable: "storeUnavailable",
    /** The edit may be in force: answers of the store were lost. */
    OutcomeUnknown: "outcomeUnknown",
    /** What stands in the store cannot be read; nothing was written. */
    BrokenStoredValue: "brokenStoredValue",
} as const;
export type ApplyErrorKind = typeof ApplyErrorKind[keyof typeof ApplyErrorKind];
