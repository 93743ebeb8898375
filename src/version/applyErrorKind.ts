/** Kinds of errors of an edit. */
export const ApplyErrorKind = {
    /** The text is invalid. Nothing was written. */
    InvalidText: "brokenText",
    /** The value exceeds the maximum size of the store. Nothing was written. */
    TooLarge: "tooLarge",
    /** The text changes the parameters of the claim log. Nothing was written. */
    ClaimParametersChanged: "claimsChanged",
    /** Another edit came first. Nothing was written. */
    LostRace: "lostRace",
    /** The store rejected the calls or could not be reached. Nothing was written. */
    StoreUnavailable: "storeUnavailable",
    /** The edit may be in force: responses of the store were lost. */
    OutcomeUnknown: "outcomeUnknown",
    /** The value in the store is invalid. Nothing was written. */
    InvalidStoredValue: "brokenStoredValue",
} as const;
export type ApplyErrorKind = typeof ApplyErrorKind[keyof typeof ApplyErrorKind];
