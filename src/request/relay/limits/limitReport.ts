import type { EndpointLimit } from "./endpointLimit.ts";

/** Report of a node to its peers about an endpoint's rate limit. */
export interface LimitReport extends EndpointLimit {
    /** Requests per second that the node would send to the endpoint without the limit. */
    demand: number;
}
