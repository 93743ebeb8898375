import type { EngineModel } from "../../version/routing/engineModel.ts";
import { estimatePrefill } from "./estimatePrefill.ts";
import { getMeanContext } from "./getMeanContext.ts";
import type { StageWork } from "./stageWork.ts";

/** Mean wait for the pass in progress, as a part of a pass, and the pass itself. */
const passesOfStep = 1.5;

/** Estimates the time that a stage adds to a whole answer, in milliseconds. */
export function estimateAnswer(
    model: EngineModel,
    work: StageWork,
    promptTokens: number,
    answerTokens: number,
): number {
    const passes = answerTokens / model.stepsOfPass;
    return passes * passesOfStep * estimatePass(model, work) + estimatePrefill(model, work, promptTokens);
}

/**
 * Estimates the time of one pass of token steps at a stage, in milliseconds: base, requests and context, as the engine
 * states them, scaled by its kind and its share of the layers.
 */
function estimatePass(model: EngineModel, work: StageWork): number {
    const context = model.stepMillisecondsOfThousandTokens * getMeanContext(model) / 1_000;
    const step = model.stepMilliseconds + work.requests * (model.stepMillisecondsOfRequest + context);
    return model.stepsOfPass * step * work.kind.stepFactor * work.slowness * work.layers / model.layers;
}
