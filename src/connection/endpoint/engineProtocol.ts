import type { LayerRange } from "../../version/configuration.ts";

/**
 * The protocol of model engines: JSON over HTTP/1.1.
 *
 * - `POST /v1/passes` accepts a {@link PassBatch} and returns `application/x-ndjson` with one {@link PassResult} per
 *   line, each as soon as it is available. A pass that is sent again (same request, attempt, position and layer range)
 *   is not run again: its stored or pending result is returned.
 * - `POST /v1/cancel` accepts a {@link CancelOrder} and frees the sequence. Later passes of that attempt are refused.
 * - `GET /v1/status` returns an {@link EngineStatus}. Its load figures are delayed.
 * - `GET /v1/cache-events?after=N` returns `{ "events": CacheEvent[] }`, delayed and with gaps in `sequence`.
 * - `POST /v1/cache/export` accepts `{ request, attempt }` and returns a {@link CacheBlob}.
 *   `POST /v1/cache/import` accepts a {@link CacheBlob}.
 * - `POST /v1/orders` accepts an {@link EngineOrder}. It returns 409 if the engine checks fencing numbers and this one
 *   is outdated.
 * - `GET /v1/health` immediately returns 200.
 */

/**
 * A run of a range of layers over consecutive positions of one attempt of a request. A position is the index of a token in
 * the sequence of the prompt and the answer, from 0.
 */
export interface Pass {
    /** Number that the sender assigns, unique on the connection of the batch. The result contains it. */
    id: number;
    request: string;
    attempt: number;
    model: string;
    /** First position of the pass. */
    position: number;
    layerStart: number;
    layerEnd: number;
    priority: number;
    /** Prompt of a pass that starts at layer 0 and position 0. Its tokens precede `tokens`. */
    text?: string;
    /** Tokens of a pass that starts at layer 0. */
    tokens?: number[];
    /** Activations of a pass that starts at a later layer; one number per position in the stand-ins. */
    hidden?: number[];
    /** Whether the positions already ran in an earlier attempt. The engine records them separately. */
    rebuild?: boolean;
}

/** Body of `POST /v1/passes`. */
export interface PassBatch {
    passes: Pass[];
}

/** Result of one pass. */
export interface PassResult {
    id: number;
    request: string;
    attempt: number;
    position: number;
    /** Number of positions that ran. */
    count: number;
    layerStart: number;
    layerEnd: number;
    /** `done`, `refused` (did not run) or `failed` (may have run partially). */
    outcome: "done" | "refused" | "failed";
    /** Activations after the last layer of the pass, one per position. Not set for the last layer of the model. */
    hidden?: number[];
    /** Token after the last position of the pass. Set only for the last layer of the model. */
    token?: number;
    /** Text of the token. */
    text?: string;
    /** Whether the token ends the answer. Its text is then empty. */
    end?: boolean;
    /**
     * Reason of an outcome other than `done`: `leaving`, `memory`, `layers`, `cancelled`, `order` (position out of
     * order), `model`.
     */
    reason?: string;
    /** Number of passes in the queue of the engine. */
    queue: number;
}

/** Body of `POST /v1/cancel`. */
export interface CancelOrder {
    request: string;
    attempt: number;
}

/** Response of `GET /v1/status`. */
export interface EngineStatus {
    endpoint: string;
    leaving: boolean;
    layers: LayerRange[];
    /** Number of passes that are queued or ran in the last step (delayed). */
    queue: number;
    /** Number of sequences that occupy memory (delayed). */
    sequences: number;
    /** Number of positions that still fit into memory (delayed). */
    freePositions: number;
    /** Highest fencing number that the engine has received. */
    fencingNumber: number;
    /** Age of the load figures. */
    loadAgeMilliseconds: number;
    /** Highest sequence number of the cache events. */
    cacheSequence: number;
}

/** One cache event. */
export interface CacheEvent {
    sequence: number;
    kind: "stored" | "evicted";
    /** Hash of the prompt prefix. */
    prefixHash: string;
}

/** An exported KV cache. */
export interface CacheBlob {
    request: string;
    attempt: number;
    layerStart: number;
    layerEnd: number;
    positions: number;
    data: string;
}

/** Order to an engine to load or unload a layer range. It describes the desired state. */
export interface EngineOrder {
    /** Fencing number of the lease under which the order is sent, see `FencedLease`. */
    fencingNumber: number;
    kind: "load" | "unload";
    range: LayerRange;
}
