/** Estimated costs of a model's holders by holder index, in milliseconds over the full request. */
export interface HolderCosts {
    /** Cost of a stage regardless of its number of layers: waiting, latency and the fixed fraction of a step. */
    stageMilliseconds: Float64Array;
    /** Cost of transferring the activations one way. Not charged before the first layer or after the last. */
    transferMilliseconds: Float64Array;
    /** Cost of one layer. */
    layerMilliseconds: Float64Array;
}
