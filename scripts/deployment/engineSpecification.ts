/** An engine stand-in of a local deployment. */
export interface EngineSpecification {
    name: string;
    dataCentre: string;
    accelerator: string;
    /** Layers as `start-end`. */
    layers: string;
    stepMillisecondsPerLayer: number;
    /** Time of a step besides its layers, in milliseconds; the stand-in's default where undefined. */
    stepBaseMilliseconds?: number;
    checksFencing: boolean;
}
