/** The place of this node in the order in which nodes send canaries for a part. */
export interface CanaryOrder {
    /** From 0. */
    rank: number;
    /** Number of live nodes. */
    nodes: number;
}
