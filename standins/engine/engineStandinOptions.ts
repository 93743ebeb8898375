import type { LayerRange } from "../../src/version/configuration.ts";

/** Options of the model engine stand-in. */
export interface EngineStandinOptions {
    name: string;
    /** TCP port on 127.0.0.1; 0 for any free one. */
    port: number;
    /** Layer ranges held at start. */
    layers: LayerRange[];
    /** Layers of each whole model, by the model's name. */
    modelLayers: Record<string, number>;
    /** Milliseconds of a step for each distinct layer that it runs. */
    stepMillisecondsPerLayer: number;
    /** Milliseconds of a step besides its layers. */
    stepBaseMilliseconds: number;
    /** Milliseconds of a step for each position after a pass's first, unless its prefix is cached. */
    prefillMillisecondsPerPosition: number;
    /** Most positions of one step, in passes of any length; one longer pass runs alone. */
    maximumBatchPositions: number;
    /** Sequences that hold memory at the same time. */
    maximumSequences: number;
    /** Positions that fit in memory, each through all the layers that the engine holds at start. */
    memoryPositions: number;
    /** Whether orders with an old fencing number are refused. */
    checksFencing: boolean;
    /** Interval at which the load figures are taken, in milliseconds; 0 for live figures. */
    loadLagMilliseconds: number;
    /** Time to load a range's weights, in milliseconds. */
    weightLoadMilliseconds: number;
    /** One-way network delay added to requests and to answers, in milliseconds. */
    hopDelayMilliseconds: number;
    /** Idle time after which a sequence is dropped, in milliseconds. */
    sequenceIdleMilliseconds: number;
    /** Blocks of 16 tokens in the prefix cache; at least 1. */
    prefixCacheBlocks: number;
    /** Time from a cache event to its publication, in milliseconds. */
    cacheEventDelayMilliseconds: number;
    /** About one cache event in so many is lost; 0 for none. */
    cacheEventGapEvery: number;
    /** Requests that the record of executed work keeps; the oldest are forgotten. */
    recordedRequests: number;
    /** Seed of the choice of lost cache events. */
    seed: number;
}
