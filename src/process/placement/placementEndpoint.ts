import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";

/** An endpoint with the state that placement decisions depend on. */
export interface PlacementEndpoint {
    id: string;
    dataCentre: string;
    /** Name of its kind of accelerator; empty if unknown. */
    kind: string;
    /** Layers that it holds or was ordered to hold; undefined if there are none. */
    layers: HeldLayers | undefined;
    /** Whether it is carrying out an order, so that it must not be given another one. */
    isBusy: boolean;
}
