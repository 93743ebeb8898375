/** One endpoint's part of a chain: the layers from `layerStart` up to but not including `layerEnd`. */
export interface ChainStage {
    endpoint: string;
    layerStart: number;
    layerEnd: number;
}

/** Stages whose layer ranges tile the model from its first layer to its last, in order. */
export interface Chain {
    stages: readonly ChainStage[];
}
