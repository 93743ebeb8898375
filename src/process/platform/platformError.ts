/** Kinds of failure of a call to the platform. */
export const PlatformErrorKind = {
    /** The call surely did not take effect: refused, rate-limited, or never sent. */
    NotDone: "notDone",
    /** The call may have taken effect: the answer was lost. */
    OutcomeUnknown: "outcomeUnknown",
} as const;
export type PlatformErrorKind = typeof PlatformErrorKind[keyof typeof PlatformErrorKind];

/** A failed call to the platform. */
export interface PlatformError {
    kind: PlatformErrorKind;
    /** What failed and what to do about it. */
    message: string;
}
