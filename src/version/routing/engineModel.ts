import type { AcceleratorKind } from "./acceleratorKind.ts";
/** What a model's engines can do: the figures from which chains and placements are computed. */
export interface EngineModel {
    modelName: string;
    layers: number;
    /** Weights of one layer, in megabytes. */
    layerMegabytes: number;
    /** Time to load all layers into one engine, in seconds. */
    loadSeconds: number;
    /** Loads at the same time above which each takes longer. */
    loadsAtOnce: number;
    /** Most requests that an engine takes as the first of a chain. */
    slots: number;
    /** Memory of one token of a request over all layers, in bytes. */
    tokenBytes: number;
    /** Token steps that an engine runs in one pass. */
    stepsOfPass: number;
    /** Time of a step through all layers without requests, in milliseconds. */
    stepMilliseconds: number;
    /** More time of a step for each request that is being answered, in milliseconds. */
    stepMillisecondsOfRequest: number;
    /** More time of a step for each 1,000 tokens of context, in milliseconds. */
    stepMillisecondsOfThousandTokens: number;
    /** Prompt tokens that are read in a millisecond. */
    prefillTokensOfMillisecond: number;
    /** Bytes that go from stage to stage for each token. */
    activationBytes: number;
    /** Bandwidth between two data centres, shared by all chains, in megabits a second. */
    pipeMegabits: number;
    /** Delay between two data centres, in milliseconds. */
    crossingMilliseconds: number;
    usualPromptTokens: number;
    usualAnswerTokens: number;
    /** By name. */
    kinds: ReadonlyMap<string, AcceleratorKind>;
}
