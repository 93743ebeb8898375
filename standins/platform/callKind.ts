/** Kinds of platform calls. */
export const CallKind = {
    Range: "range",
    Transaction: "transaction",
    LeaseGrant: "leaseGrant",
    LeaseKeepAlive: "leaseKeepAlive",
    LeaseRevoke: "leaseRevoke",
    Watch: "watch",
    VmList: "vmList",
} as const;
export type CallKind = typeof CallKind[keyof typeof CallKind];
