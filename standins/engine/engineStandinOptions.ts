import type { LayerRange } from "../../src/version/configuration.ts";

/** Options of the model engine stand-in. */
export interface EngineStandinOptions {
    name: string;
    /** TCP port on 127.0.0.1; 0 for any free port. */
    port: number;
    /** Layer ranges that the engine holds when it starts. */
    layers: LayerRange[];
    /** Total number of layers of each model, by model name. */
    modelLayers: Record<string, number>;
    /** Time that a step takes for each distinct layer that it runs, in milliseconds. */
    stepMillisecondsPerLayer: number;
    /** Fixed time of a step, in milliseconds. */
    stepBaseMilliseconds: number;
    /** Time that a step takes for each uncached position after the first position of a pass, in milliseconds. */
    prefillMillisecondsPerPosition: number;
    /** Maximum number of positions in one step. A pass with more positions runs alone. */
    maximumBatchPositions: number;
    /** Maximum number of sequences that hold memory at the same time. */
    maximumSequences: number;
    /** Number of positions that fit in memory, each for all layers that the engine holds when it starts. */
    memoryPositions: number;
    /** Whether the engine refuses orders with an old fencing number. */
    checksFencing: boolean;
    /** Interval at which the load values are sampled, in milliseconds; 0 for current values. */
    loadLagMilliseconds: number;
    /** Time to load the weights of a layer range, in milliseconds. */
    weightLoadMilliseconds: number;
    /** One-way network delay added to requests and to responses, in milliseconds. */
    hopDelayMilliseconds: number;
    /** Idle time after which a sequence is dropped, in milliseconds. */
    sequenceIdleMilliseconds: number;
    /** Capacity of the prefix cache, in blocks of 16 tokens; at least 1. */
    prefixCacheBlocks: number;
    /** Delay before a cache event is published, in milliseconds. */
    cacheEventDelayMilliseconds: number;
    /** Average number of cache events per lost event; 0 if none are lost. */
    cacheEventGapEvery: number;
    /** Maximum number of requests in the execution record; the oldest are removed. */
    recordedRequests: number;
    /** Seed that determines which cache events are lost. */
    seed: number;
}
