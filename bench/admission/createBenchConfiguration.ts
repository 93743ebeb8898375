import type { Configuration, CustomerConfiguration, RequestLimits } from "../../src/version/configuration.ts";

/** Creates a configuration with customers and limits but without endpoints. */
export function createBenchConfiguration(
    customers: Record<string, Partial<CustomerConfiguration>>,
    limits: Partial<RequestLimits> = {},
): Configuration {
    const filled: Record<string, CustomerConfiguration> = {};
    for (const [name, customer] of Object.entries(customers)) {
        filled[name] = { keyHashes: [], weight: 1, requestsPerSecond: 1e9, priority: 0, ...customer };
    }
    return {
        models: {},
        services: {},
        endpoints: {},
        dataCentres: {},
        links: [],
        customers: filled,
        limits: {
            maximumBodyBytes: 1e6,
            maximumTokens: 4096,
            maximumQueueMilliseconds: 5_000,
            maximumQueuedRequests: 1_000,
            ...limits,
        },
        claims: { shards: 1, windowMilliseconds: 1, appendIntervalMilliseconds: 1 },
    };
}
