/** An engine stand-in of a local deployment. */
export interface EngineSpecification {
    name: string;
    dataCentre: string;
    accelerator: string;
    /** Layers as `start-end`. */
    layers: string;
    stepMillisecondsPerLayer: number;
    /** Fixed time of a step in addition to its layers, in milliseconds; the stand-in's default if undefined. */
    stepBaseMilliseconds?: number;
    checksFencing: boolean;
}
