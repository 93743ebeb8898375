/** The nodes that share an endpoint's rate limit. */
export interface LimitSharers {
    count: number;
    /** Whether these are all live nodes. */
    includesAllNodes: boolean;
    /** Whether this node is one of them. */
    includesThisNode: boolean;
}
