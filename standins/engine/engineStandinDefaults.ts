import type { EngineStandinOptions } from "./engineStandinOptions.ts";

/** Defaults of all options except the name and the layers. */
export const engineStandinDefaults: Omit<EngineStandinOptions, "name" | "layers" | "modelLayers"> = {
    port: 0,
    stepMillisecondsPerLayer: 0.05,
    stepBaseMilliseconds: 1,
    prefillMillisecondsPerPosition: 0.01,
    maximumBatchPositions: 2048,
    maximumSequences: 64,
    memoryPositions: 100000,
    checksFencing: true,
    loadLagMilliseconds: 500,
    weightLoadMilliseconds: 500,
    hopDelayMilliseconds: 0,
    sequenceIdleMilliseconds: 60000,
    prefixCacheBlocks: 4096,
    cacheEventDelayMilliseconds: 1000,
    cacheEventGapEvery: 16,
    recordedRequests: 200000,
    seed: 1,
};
