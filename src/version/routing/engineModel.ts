import type { AcceleratorKind } from "./acceleratorKind.ts";
/** Performance model of the engines of a model, from which chains and placements are computed. */
export interface EngineModel {
    modelName: string;
    layers: number;
    /** Size of the weights of one layer, in megabytes. */
    layerMegabytes: number;
    /** Time to load all layers into one engine, in seconds. */
    loadSeconds: number;
    /** Maximum number of concurrent loads that do not slow each other down. */
    loadsAtOnce: number;
    /** Maximum number of requests for which an engine is the first stage. */
    slots: number;
    /** Memory of one token over all layers (key-value cache), in bytes. */
    bytesPerToken: number;
    /** Number of decoding steps that an engine runs in one pass. */
    stepsPerPass: number;
    /** Base time of a step through all layers without requests, in milliseconds. */
    stepMilliseconds: number;
    /** Additional time of a step for each running request, in milliseconds. */
    stepMillisecondsPerRequest: number;
    /** Additional time of a step for each 1,000 tokens of context, in milliseconds. */
    stepMillisecondsPerThousandTokens: number;
    /** Prefill throughput, in prompt tokens per millisecond. */
    prefillTokensPerMillisecond: number;
    /** Bytes that are sent from stage to stage for each token. */
    activationBytesPerToken: number;
    /** Bandwidth between two data centres, shared by all chains, in megabits per second. */
    linkMegabitsPerSecond: number;
    /** Delay between two data centres, in milliseconds. */
    linkDelayMilliseconds: number;
    typicalPromptTokens: number;
    typicalAnswerTokens: number;
    /** Kinds of accelerator by name. */
    kinds: ReadonlyMap<string, AcceleratorKind>;
}
