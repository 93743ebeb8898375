import type { HeldLayers } from "../../request/relay/heldLayers.ts";

/** A range of layers that several endpoints hold, each a replica of the others. */
export interface LayerColumn {
    layers: HeldLayers;
    /** Name of the kind of accelerator that it was sized for; others may hold it where they have the memory. */
    kind: string;
}
