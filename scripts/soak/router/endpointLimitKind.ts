/** An endpoint that limits the requests that it takes from all nodes together. */
export const endpointLimitKind = {
    name: "endpointLimits",
    requestsPerSecond: 0.5,
} as const;
