/** Addresses of the endpoints of a test's configuration. */
export type EndpointAddresses = Record<"engine-1" | "engine-2" | "document-1" | "document-2", string>;

/** What a test may change. */
interface ConfigurationOptions {
    configurationLimits?: object;
    documentTimeoutMilliseconds?: number;
}

/**
 * Creates the operators' text of a test: two engines that hold half of a model each, and two document services.
 * @param addresses - host:port of each endpoint.
 * @param keyHash - Hash of the one customer's API key.
 * @param options - What differs from the defaults.
 */
export function createNodeConfiguration(
    addresses: EndpointAddresses,
    keyHash: string,
    options: ConfigurationOptions,
): object {
    const common = { dataCentre: "centre-a", maximumSequences: 64 };
    const document = {
        kind: "document",
        endpoints: ["document-1", "document-2"],
        timeoutMilliseconds: options.documentTimeoutMilliseconds ?? 10_000,
    };
    return {
        dataCentres: { "centre-a": { region: "south" } },
        models: { model: { layers: 8, hiddenBytes: 8192 } },
        endpoints: {
            "engine-1": { kind: "engine", address: addresses["engine-1"], ...common, layers: createLayers(0) },
            "engine-2": { kind: "engine", address: addresses["engine-2"], ...common, layers: createLayers(4) },
            "document-1": { kind: "document", address: addresses["document-1"], ...common },
            "document-2": { kind: "document", address: addresses["document-2"], ...common },
        },
        services: {
            assistant: { kind: "model", model: "model" },
            letters: { kind: "model", model: "model", idempotent: false },
            receipts: { ...document, idempotent: false },
            summaries: { ...document, idempotent: true },
            liquidación: { ...document, idempotent: true },
        },
        customers: { families: { keyHashes: [keyHash], requestsPerSecond: 10_000 } },
        limits: { maximumBodyBytes: 100_000, ...options.configurationLimits },
    };
}

function createLayers(start: number): object[] {
    return [{ model: "model", start, end: start + 4 }];
}
