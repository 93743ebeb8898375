/** What an endpoint said of itself. */
export interface EndpointReading {
    endpointId: string;
    /** Factor on its usual times; above 1 where it is slow. */
    factor: number;
    /**
     * Memory in use that no node's requests explain, in tokens times layers: of requests whose node has gone, or that
     * their endpoint hasn't dropped yet.
     */
    hiddenTokenLayers: number;
    /** Time since the reading, in milliseconds. */
    age: number;
}
