import type { EndpointAddress } from "../connection/endpoint/endpointAddress.ts";

/** A model that services can use. */
interface ModelConfiguration {
    /** Number of layers. Layers are numbered from 0. */
    layers: number;
    /** Size of the activations of one position between two layers, in bytes. */
    hiddenBytes: number;
}

/** A service that runs a model over a chain of stages. */
export interface ModelServiceConfiguration {
    kind: "model";
    /** Name of the model. */
    model: string;
    /** Whether requests may be retried if the caller does not specify it. */
    idempotent: boolean;
}

/** A service that forwards plain HTTP requests to one of its endpoints. */
export interface DocumentServiceConfiguration {
    kind: "document";
    /** Names of the endpoints. */
    endpoints: string[];
    /** Whether requests may be retried. */
    idempotent: boolean;
    /** Timeout of a request, in milliseconds. */
    timeoutMilliseconds: number;
}

export type ServiceConfiguration = ModelServiceConfiguration | DocumentServiceConfiguration;

/** A range of layers of one model; `end` is exclusive. */
export interface LayerRange {
    model: string;
    start: number;
    end: number;
}

/** A back end: a model engine that holds layers, or a process of a document service. */
export interface EndpointConfiguration {
    kind: "engine" | "document";
    /** Address as host:port, where the host is an IP address. */
    address: EndpointAddress;
    dataCentre: string;
    /** Kind of accelerator. Undefined for document endpoints. */
    accelerator?: string;
    /** Layer ranges that the engine holds at the start. The engine's own report takes precedence. */
    layers: LayerRange[];
    /** Whether the endpoint rejects orders with an outdated fencing number. */
    checksFencing: boolean;
    /** Maximum number of sequences that the endpoint runs concurrently. */
    maximumSequences: number;
    /** Time of one step for one layer and one position, in milliseconds, if known. */
    stepMillisecondsPerLayer?: number;
}

/** A link between two data centres; symmetric. */
interface LinkConfiguration {
    from: string;
    to: string;
    /** One-way latency, in milliseconds. */
    latencyMilliseconds: number;
    megabytesPerSecond: number;
}

/** A customer, identified by the SHA-256 of its API keys. */
export interface CustomerConfiguration {
    /** `sha256:` followed by 64 hexadecimal digits. */
    keyHashes: string[];
    /** Share of the capacity under contention, relative to the weights of other customers. */
    weight: number;
    /** Rate limit over all nodes, in requests per second. */
    requestsPerSecond: number;
    /** Priority that is sent to the engines. Higher values go first. */
    priority: number;
}

/** Limits that apply to all requests. */
export interface RequestLimits {
    maximumBodyBytes: number;
    maximumTokens: number;
    /** Maximum time in a queue, in milliseconds. */
    maximumQueueMilliseconds: number;
    /** Maximum number of queued requests per node. */
    maximumQueuedRequests: number;
}

/** Parameters of the claim log. Changing them is only safe for new shards. */
export interface ClaimConfiguration {
    shards: number;
    /** How long a key stays valid after it was issued, in milliseconds. */
    windowMilliseconds: number;
    /** Minimum time between two appends to a shard, in milliseconds. */
    appendIntervalMilliseconds: number;
}

/** The operators' configuration, validated and with defaults filled in. */
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
