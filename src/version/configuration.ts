/** A model that services may use. */
interface ModelConfiguration {
    /** Number of layers; the layers are numbered from 0. */
    layers: number;
    /** Bytes of one position's activations between two layers. */
    hiddenBytes: number;
}

/** A service that answers by running a model over stages. */
export interface ModelServiceConfiguration {
    kind: "model";
    /** Name of the model that the service depends on. */
    model: string;
    /** Whether its calls may be repeated, where the caller does not say. */
    idempotent: boolean;
}

/** A service that forwards plain HTTP calls to one of its endpoints. */
export interface DocumentServiceConfiguration {
    kind: "document";
    /** Names of the endpoints that the service depends on. */
    endpoints: string[];
    /** Whether its calls may be repeated. */
    idempotent: boolean;
    /** Longest time that one call may take, in milliseconds. */
    timeoutMilliseconds: number;
}

export type ServiceConfiguration = ModelServiceConfiguration | DocumentServiceConfiguration;

/** A range of layers of one model, from `start` up to but not including `end`. */
export interface LayerRange {
    model: string;
    start: number;
    end: number;
}

/** A back end: a model engine that holds layers, or a document service's process. */
export interface EndpointConfiguration {
    kind: "engine" | "document";
    /** host:port by IP number. */
    address: string;
    dataCentre: string;
    /** Kind of accelerator; undefined for document endpoints. */
    accelerator?: string;
    /** Layer ranges that the engine holds at start; the engine's own report goes before it. */
    layers: LayerRange[];
    /** Whether the endpoint refuses orders that carry an old fencing number. */
    checksFencing: boolean;
    /** Sequences that the endpoint serves at the same time. */
    maximumSequences: number;
    /** Milliseconds of one step for one layer of one position, where known. */
    stepMillisecondsPerLayer?: number;
}

/** A link between two data centres; symmetric. */
interface LinkConfiguration {
    from: string;
    to: string;
    /** One way, in milliseconds. */
    latencyMilliseconds: number;
    megabytesPerSecond: number;
}

/** A customer, identified by the SHA-256 of its API keys. */
export interface CustomerConfiguration {
    /** `sha256:` followed by 64 hexadecimal digits. */
    keyHashes: string[];
    /** Share of the capacity under contention, relative to the other customers. */
    weight: number;
    /** Most requests a second over all nodes. */
    requestsPerSecond: number;
    /** Priority that the engines get; higher goes first. */
    priority: number;
}

/** Limits that hold for all requests. */
export interface RequestLimits {
    maximumBodyBytes: number;
    maximumTokens: number;
    /** Longest wait in a queue, in milliseconds. */
    maximumQueueMilliseconds: number;
    /** Most requests that wait on one node. */
    maximumQueuedRequests: number;
}

/** The claim log's numbers. Changing them is safe only for new shards. */
export interface ClaimConfiguration {
    shards: number;
    /** How long a key counts after its issue time, in milliseconds. */
    windowMilliseconds: number;
    /** Shortest time between two appends of one shard, in milliseconds. */
    appendIntervalMilliseconds: number;
}

/** The operators' text, checked and with its defaults filled in. */
export interface Configuration {
    models: Record<string, ModelConfiguration>;
    services: Record<string, ServiceConfiguration>;
    endpoints: Record<string, EndpointConfiguration>;
    dataCentres: Record<string, { region: string; }>;
    links: LinkConfiguration[];
    customers: Record<string, CustomerConfiguration>;
    limits: RequestLimits;
    claims: ClaimConfiguration;
}
