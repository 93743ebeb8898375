import type { ReplicaSet } from "./replicaSet.ts";

/** The endpoints that hold a column or parts of it. */
export interface ColumnCoverage extends ReplicaSet {
    /** Total memory of the replicas for requests, in tokens. */
    tokens: number;
    /** Each way to split the column into parts, with the fewest parts first. */
    partitions: ReplicaSet[][];
    /** Further ways, into parts that fit on small endpoints, for a column that the fleet can't hold otherwise. */
    smallPartitions: ReplicaSet[][];
}
