import type { HeldLayers } from "../../request/relay/heldLayers.ts";

/** A range that an endpoint should hold. */
export interface LayerAssignment {
    endpointId: string;
    layers: HeldLayers;
}
