/** A stage of a chain: one endpoint runs the layers from `layerStart` up to but not including `layerEnd`. */
export interface ChainStage {
    endpoint: string;
    layerStart: number;
    layerEnd: number;
}

/** Ordered stages that together cover each layer of a model exactly once. */
export interface Chain {
    stages: readonly ChainStage[];
}
