import type { HeldLayers } from "./heldLayers.ts";

/** Command to an endpoint to hold a range of layers. */
export interface LayerOrder {
    layers: HeldLayers;
    fencingNumber: number;
    /** Number of orders that the endpoint must have begun before; it refuses the order if the number differs. */
    expectedSequence: number;
}
