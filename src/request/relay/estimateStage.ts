import type { AcceleratorKind, EngineModel } from "../../version/routing/engineModel.ts";

/** What one stage is asked to do. */
export interface StageWork {
    kind: AcceleratorKind;
    /** Layers that the stage runs. */
    layers: number;
    /** Requests that are being answered there, this one included. */
    requests: number;
    /** Mean tokens of a request. */
    contextTokens: number;
    /** Factor on the usual times. */
    slowness: number;
}

/**
 * Estimates the time of one pass of token steps at a stage, in milliseconds: base, requests and context, as the engine
 * states them, scaled by its kind and its share of the layers.
 */
export function estimatePass(model: EngineModel, work: StageWork): number {
    const step = model.stepMilliseconds + work.requests * (
                model.stepMillisecondsOfRequest + model.stepMillisecondsOfThousandTokens * work.contextTokens / 1_000
            );
    return model.stepsOfPass * step * work.kind.stepFactor * work.slowness * work.layers / model.layers;
}

/** Estimates the time that a stage needs to read a prompt, in milliseconds. */
export function estimatePrefill(model: EngineModel, work: StageWork, promptTokens: number): number {
    const reading = promptTokens / model.prefillTokensOfMillisecond;
    return reading * work.kind.prefillFactor * work.slowness * work.layers / model.layers;
}
