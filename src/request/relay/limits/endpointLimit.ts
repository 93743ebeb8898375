/** Rate limit that an endpoint has stated. */
export interface EndpointLimit {
    endpointId: string;
    /** Requests per second that it accepts from all nodes together; undefined if it no longer states a limit. */
    requestsPerSecond: number | undefined;
    /** Monotonic time in milliseconds of the answer that stated it. */
    at: number;
}
