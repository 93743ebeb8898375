import type { PlacementEndpoint } from "./placementEndpoint.ts";
import type { ReplicaSet } from "./replicaSet.ts";

/** A decision for an endpoint. */
export interface PlacementDecision {
    endpoint: PlacementEndpoint;
    /** What it held before; undefined if it held neither a column nor a part of one. */
    from: ReplicaSet | undefined;
    to: ReplicaSet;
}
