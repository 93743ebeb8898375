import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** A column or a part of one, with the endpoints that hold exactly these layers or are to load them. */
export interface ReplicaSet {
    layers: HeldLayers;
    /** The column, or the column that this is a part of. */
    column: LayerColumn;
    replicas: Map<string, PlacementEndpoint>;
    /** Number of replicas by data centre. */
    counts: Map<string, number>;
}
