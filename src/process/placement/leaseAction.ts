/** What a node should do with the placement lease. */
export const LeaseAction = {
    /** Acquire the lease, or renew it if it is held. */
    Acquire: "acquire",
    /** Keep the lease without renewing it. */
    Keep: "keep",
    /** Leave the lease to a node that should acquire it first, but read its record, so that the time until it ends counts from now. */
    Await: "await",
    /** Release the lease if it is held, and don't acquire it. */
    Release: "release",
} as const;
export type LeaseAction = typeof LeaseAction[keyof typeof LeaseAction];
