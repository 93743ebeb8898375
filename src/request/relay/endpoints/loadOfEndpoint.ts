/** Load that requests put on an endpoint. */
export interface LoadOfEndpoint {
    endpointId: string;
    requests: number;
    /** Memory that the requests are expected to need, in tokens times layers. */
    tokenLayers: number;
}
