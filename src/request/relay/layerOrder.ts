import type { HeldLayers } from "./heldLayers.ts";

/** An order to hold a range of layers. */
export interface LayerOrder {
    layers: HeldLayers;
    fencingNumber: number;
    /** Number of orders that the endpoint must have begun before; another number refuses the order. */
    expectedSequence: number;
}
