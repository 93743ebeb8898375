/** What an endpoint said of how many requests it takes. */
export interface EndpointLimit {
    endpointId: string;
    /** Requests a second from all nodes together; undefined where it has ceased to name a limit. */
    requestsPerSecond: number | undefined;
    /** Monotonic time in milliseconds of the answer that said so. */
    at: number;
}
