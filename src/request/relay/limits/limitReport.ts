import type { EndpointLimit } from "./endpointLimit.ts";

/** What a node tells its peers of an endpoint's limit. */
export interface LimitReport extends EndpointLimit {
    /** Requests a second that the node would send to the endpoint without the limit. */
    demand: number;
}
