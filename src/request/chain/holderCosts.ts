/** Estimated costs of a model's holders, by holder index, in milliseconds over the whole request. */
export interface HolderCosts {
    /** Cost of a stage whatever its layers: waiting and latency. */
    stage: Float64Array;
    /** Cost of moving activations one way; not paid before the first layer nor after the last. */
    transfer: Float64Array;
    /** Cost of one layer. */
    layer: Float64Array;
}
