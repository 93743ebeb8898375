import type { RequestKind } from "./requestKind.ts";

/** One of the services that a route's requests go to. */
interface WeightedService {
    service: string;
    /** Share of the requests, relative to the other weights of the route. */
    weight: number;
}

/** Which requests belong together, where they go and how they are treated. */
export interface Route {
    name: string;
    /** Host of the requests, in lower case. */
    host: string;
    /** Beginning of the requests' paths; begins and ends with a slash. */
    prefix: string;
    kind: RequestKind;
    services: WeightedService[];
    /** Longest time until the final answer, in milliseconds. */
    timeoutMilliseconds: number;
    /** Latency objective, in milliseconds; of a stream, until its first event. */
    objectiveMilliseconds: number;
    /** Longest pause between two events of a stream that is still on time, in milliseconds. */
    maximumGapMilliseconds: number;
    /** Most endpoints that one request may be sent to. */
    maximumAttempts: number;
    /** Rank; 0 goes first. */
    priority: number;
    /** Whether requests need no API key. */
    isPublic: boolean;
    /** Whether a stream may be continued by another run from its last event on. */
    isResumable: boolean;
}
