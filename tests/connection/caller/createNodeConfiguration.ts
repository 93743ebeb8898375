/** Addresses of the endpoints in the configuration of a test. */
export type EndpointAddresses =
    & Record<"engine-1" | "engine-2" | "document-1" | "document-2", string>
    & Partial<Record<"engine-3", string>>;

/** Settings that a test can change. */
interface ConfigurationOptions {
    configurationLimits?: object;
    documentTimeoutMilliseconds?: number;
}

/**
 * Creates the configuration of a test: two engines that each hold half of a model, a third one with the whole model if it has an address, and document services with two
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
    const third = addresses["engine-3"];
    return {
        dataCentres: { "centre-a": { region: "south" } },
        models: { model: { layers: 8, hiddenBytes: 8192 } },
        endpoints: {
            "engine-1": { kind: "engine", address: addresses["engine-1"], ...common, layers: createLayers(0) },
            "engine-2": { kind: "engine", address: addresses["engine-2"], ...common, layers: createLayers(4) },
            ...third === undefined
                ? {}
                : {
                    "engine-3": {
                        kind: "engine",
                        address: third,
                        ...common,
                        layers: createLayers(0, 8),
                        stepMillisecondsPerLayer: 1_000,
                    },
                },
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

function createLayers(start: number, end = start + 4): object[] {
    return [{ model: "model", start, end }];
}
