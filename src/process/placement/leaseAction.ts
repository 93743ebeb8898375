/** What a node should do with the placement lease. */
export const LeaseAction = {
    /** Acquire the lease, or renew it if it is held. */
    Acquire: "acquire",
    /** Keep the lease without renewing it. */
    Keep: "keep",
    /** Release the lease if it is held, and don't acquire it. */
    Release: "release",
} as const;
export type LeaseAction = typeof LeaseAction[keyof typeof LeaseAction];
