/** Reasons why an order under a lease was not sent. */
export const LeaseErrorKind = {
    /** The lease is not held. */
    NotHeld: "notHeld",
} as const;
export type LeaseErrorKind = typeof LeaseErrorKind[keyof typeof LeaseErrorKind];

/** Error for an order that was not sent. */
export interface LeaseError {
    kind: LeaseErrorKind;
    /** Describes the failure and how to resolve it. */
    message: string;
}
