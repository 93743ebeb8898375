/** An engine stand-in of a local deployment. */
export interface EngineSpecification {
    name: string;
    dataCentre: string;
    accelerator: string;
    /** Layers as `start-end`. */
    layers: string;
    stepMillisecondsPerLayer: number;
    checksFencing: boolean;
}
