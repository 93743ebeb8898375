/** The nodes that share an endpoint's limit. */
export interface LimitSharers {
    count: number;
    /** Whether they are all nodes that live. */
    areAll: boolean;
    /** Whether this node is one of them. */
    isOneOfThem: boolean;
}
