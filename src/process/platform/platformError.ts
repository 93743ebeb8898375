/** Kinds of errors of a call to the platform. */
export const PlatformErrorKind = {
    /** The call did not take effect: it was rejected, rate-limited or never sent, or it was a read. */
    NotDone: "notDone",
    /** The call may have taken effect: its response was lost or reported a server error. */
    OutcomeUnknown: "outcomeUnknown",
} as const;
export type PlatformErrorKind = typeof PlatformErrorKind[keyof typeof PlatformErrorKind];

/** Error of a call to the platform. */
export interface PlatformError {
    kind: PlatformErrorKind;
    /** What failed and what to do about it. */
    message: string;
}
