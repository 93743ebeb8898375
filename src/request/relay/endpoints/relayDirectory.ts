import type { RegisteredEndpoint } from "./registeredEndpoint.ts";

/** The endpoints that can receive requests. */
export interface RelayDirectory {
    /** Gets the endpoints of a service, except those that are draining or gone. */
    getEndpoints(service: string): readonly RegisteredEndpoint[];
    /** Gets the endpoint at an address (host:port), including draining ones. */
    getEndpointAt(address: string): RegisteredEndpoint | undefined;
    /** Gets the factor by which an endpoint is slower than usual; 1 if unknown. */
    getSlowness(endpointId: string): number;
    /** Gets the used memory that is not accounted for by any node's requests, in tokens times layers. */
    getHiddenTokenLayers(endpointId: string): number;
}
