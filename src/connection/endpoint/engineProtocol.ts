import type { LayerRange } from "../../version/configuration.ts";

/**
 * The messages that model engines understand, as JSON over HTTP/1.1.
 *
 * - `POST /v1/passes` takes a {@link PassBatch}; the answer is `application/x-ndjson`, one {@link PassResult}
 *   a line, each as soon as it is known. A pass that is sent again (same request, attempt, position and layer range)
 *   is not run again: the kept or coming result is returned.
 * - `POST /v1/cancel` takes a {@link CancelOrder}: frees the sequence; later passes of that attempt are refused.
 * - `GET /v1/status` returns an {@link EngineStatus}, whose load lags.
 * - `GET /v1/cache-events?after=N` returns `{ "events": CacheEvent[] }`, late and with gaps in `sequence`.
 * - `POST /v1/cache/export` takes `{ request, attempt }` and returns a {@link CacheBlob};
 *   `POST /v1/cache/import` takes a {@link CacheBlob}.
 * - `POST /v1/orders` takes an {@link EngineOrder}; 409 where the fencing number is old and the engine checks it.
 * - `GET /v1/health` answers 200 at once.
 */
export interface Pass {
    /** Number that the sender chose, unique on the batch's connection; returned in the result. */
    id: number;
    request: string;
    attempt: number;
    model: string;
    /** First position of the pass. */
    position: number;
    layerStart: number;
    layerEnd: number;
    priority: number;
    /** Prompt, for a pass that starts at layer 0 and position 0; its tokens come before `tokens`. */
    text?: string;
    /** Tokens, for a pass that starts at layer 0. */
    tokens?: number[];
    /** Activations, one number a position in the stand-ins, for a pass that starts at a later layer. */
    hidden?: number[];
    /** Whether the positions ran in an earlier attempt; the engine records them apart. */
    rebuild?: boolean;
}

/** Body of `POST /v1/passes`. */
export interface PassBatch {
    passes: Pass[];
}

/** Answer to one pass. */
export interface PassResult {
    id: number;
    request: string;
    attempt: number;
    position: number;
    /** Positions that ran. */
    count: number;
    layerStart: number;
    layerEnd: number;
    /** `done`, or `refused`: surely not run, or `failed`: may have run in part. */
    outcome: "done" | "refused" | "failed";
    /** Activations after the last layer of the pass, one a position; absent from the model's last layer. */
    hidden?: number[];
    /** Next token, from the model's last layer, after the last position of the pass. */
    token?: number;
    /** Text of the token. */
    text?: string;
    /** Whether the token ends the answer; its text is empty then. */
    end?: boolean;
    /** Reason, where not done: `leaving`, `memory`, `layers`, `cancelled`, `order` (position out of order), `model`. */
    reason?: string;
    /** Passes that wait at the engine. */
    queue: number;
}

/** Body of `POST /v1/cancel`. */
export interface CancelOrder {
    request: string;
    attempt: number;
}

/** Answer of `GET /v1/status`. */
export interface EngineStatus {
    endpoint: string;
    leaving: boolean;
    layers: LayerRange[];
    /** Passes that wait or ran in the last step; lags. */
    queue: number;
    /** Sequences that hold memory; lags. */
    sequences: number;
    /** Positions that still fit in memory; lags. */
    freePositions: number;
    /** Highest fencing number seen. */
    fencingNumber: number;
    /** Milliseconds since the load figures were taken. */
    loadAgeMilliseconds: number;
    /** Highest sequence number of a cache event. */
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

/** Order to an engine: states the wanted end state. */
export interface EngineOrder {
    fencingNumber: number;
    kind: "load" | "unload";
    range: LayerRange;
}
