/** Reasons why a key cannot be claimed. */
export const ClaimKeyErrorKind = {
    /** Not a customer name, a slash and a UUID version 7 in lower case. */
    Malformed: "malformed",
    /** Issued longer ago than the window. */
    TooOld: "tooOld",
    /** Issued further in the future than clock skew explains. */
    InFuture: "inFuture",
} as const;
export type ClaimKeyErrorKind = typeof ClaimKeyErrorKind[keyof typeof ClaimKeyErrorKind];

/** Error that a key cannot be claimed. */
export interface ClaimKeyError {
    kind: ClaimKeyErrorKind;
    /** What is wrong with the key and what to do about it. */
    message: string;
}
