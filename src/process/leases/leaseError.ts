/** Kinds of failure of an order under a lease. */
export const LeaseErrorKind = {
    /** The lease is not held now; the order was not sent. */
    NotHeld: "notHeld",
} as const;
export type LeaseErrorKind = typeof LeaseErrorKind[keyof typeof LeaseErrorKind];

/** Why an order was not sent. */
export interface LeaseError {
    kind: LeaseErrorKind;
    /** What failed and what to do about it. */
    message: string;
}
