/** The nodes that share an endpoint's rate limit. */
export interface LimitSharers {
    count: number;
    /** Whether they are all live nodes. */
    includesAllNodes: boolean;
    /** Whether they include this node. */
    includesThisNode: boolean;
}
