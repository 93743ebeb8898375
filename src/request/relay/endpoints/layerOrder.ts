import type { HeldLayers } from "./heldLayers.ts";

/** Command to an endpoint to hold a range of layers. */
export interface LayerOrder {
    layers: HeldLayers;
    /** Fencing number of the lease under which the order is sent, see `FencedLease`. */
    fencingNumber: number;
    /** Number of orders that the endpoint must have begun before; it refuses the order if the number differs. */
    expectedSequence: number;
}
