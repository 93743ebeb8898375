/** What requests can be grouped by in a report. */
export const Grouping = {
    Rank: "rank",
    Customer: "customer",
    /** Data centre of the node, which is that of the caller. */
    DataCentre: "data-centre",
    /** Data centres of the endpoints, seen from that of the node. */
    RunAt: "run-at",
    /** Accelerator kinds of the endpoints. */
    Kind: "kind",
} as const;
export type Grouping = typeof Grouping[keyof typeof Grouping];
