/** The fault of an endpoint that limits the rate of requests from all nodes together. */
export const endpointLimitKind = {
    name: "endpointLimits",
    requestsPerSecond: 0.5,
} as const;
