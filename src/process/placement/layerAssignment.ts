import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";

/** An endpoint and the range of layers that it should hold. */
export interface LayerAssignment {
    endpointId: string;
    layers: HeldLayers;
}
