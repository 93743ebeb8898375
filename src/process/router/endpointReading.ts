/** Speed and memory use from an endpoint's report. */
export interface EndpointReading {
    endpointId: string;
    /** Factor on its usual times; above 1 if it is slow. */
    factor: number;
    /**
     * Memory in use that the requests of no node explain, in tokens times layers. It belongs to requests whose node is gone,
     * or that the endpoint has not dropped yet.
     */
    hiddenTokenLayers: number;
    /** Age of the reading in milliseconds. */
    age: number;
}
