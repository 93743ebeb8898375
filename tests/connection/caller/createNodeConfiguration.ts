/** Addresses of the endpoints in the configuration of a test. */
export type EndpointAddresses = Record<"engine-1" | "engine-2" | "document-1" | "document-2", string>;

/** Settings that a test can change. */
interface ConfigurationOptions {
    configurationLimits?: object;
    documentTimeoutMilliseconds?: number;
}

/**
 * Creates the configuration of a test: two engines that each hold half of a model, and document services with two
 * endpoints.
 * @param addresses - Address of each endpoint, as host:port.
 * @param keyHash - Hash of the API key of the only customer.
 * @param options - Settings that differ from the defaults.
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
