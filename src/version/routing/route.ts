import type { RequestKind } from "./requestKind.ts";

/** A service that receives a share of a route's requests. */
interface WeightedService {
    service: string;
    /** Share of the requests, relative to the other weights of the route. */
    weight: number;
}

/** Matches requests by host and path, and defines which services they go to and how they are handled. */
export interface Route {
    name: string;
    /** Host of the requests, in lower case. */
    host: string;
    /** Prefix of the requests' paths. Begins and ends with a slash. */
    prefix: string;
    kind: RequestKind;
    services: WeightedService[];
    /** Maximum time until the response is complete, in milliseconds. */
    timeoutMilliseconds: number;
    /** Target latency, in milliseconds; for a stream, until its first event. */
    targetLatencyMilliseconds: number;
    /** Maximum time between two events of a stream that counts as on time, in milliseconds. */
    maximumEventGapMilliseconds: number;
    /** Maximum number of endpoints that a request may be sent to. */
    maximumAttempts: number;
    /** Priority. Lower values go first. */
    priority: number;
    /** Whether requests need no API key. */
    isPublic: boolean;
    /** Whether a stream may be resumed from its last event on another endpoint. */
    isResumable: boolean;
}
