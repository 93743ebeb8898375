/** What requests take of one endpoint. */
export interface LoadOfEndpoint {
    endpointId: string;
    requests: number;
    /** Memory that the requests are expected to need, in tokens times layers. */
    tokenLayers: number;
}
