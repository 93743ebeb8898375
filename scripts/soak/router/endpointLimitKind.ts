/** The fault in which an endpoint limits the total rate of requests from all nodes. */
export const endpointLimitKind = {
    name: "endpointLimits",
    requestsPerSecond: 0.5,
} as const;
