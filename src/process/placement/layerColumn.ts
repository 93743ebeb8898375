import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";

/**
 * A range of layers in the plan of a model. The columns of a plan cover all layers in order without overlap, and the
 * endpoints that hold the same column are its replicas.
 */
export interface LayerColumn {
    layers: HeldLayers;
    /**
     * Name of the kind of accelerator that the column was sized for. Other kinds may hold it if they have enough
     * memory.
     */
    kind: string;
}
