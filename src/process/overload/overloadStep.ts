/**
 * Steps by which a late node protects itself, in the order in which it takes them. None of them limits new connections; see
 * `NewConnectionDecider`.
 */
export const OverloadStep = {
    /** Exchanges with peers and polls of endpoints become less frequent. */
    ReduceBackground: "reduceBackground",
    /** New requests of the lowest rank are refused before their bodies are read. */
    RefuseLowestRank: "refuseLowestRank",
    /** The node reports itself as not ready to the load balancer. */
    LeaveRotation: "leaveRotation",
} as const;
export type OverloadStep = (typeof OverloadStep)[keyof typeof OverloadStep];
