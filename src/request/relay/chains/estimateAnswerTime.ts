import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { estimatePrefillTime } from "./estimatePrefillTime.ts";
import { getMeanContext } from "./getMeanContext.ts";
import type { StageWork } from "./stageWork.ts";

/** Duration of a step in passes: half a pass of mean wait for the pass in progress, and the pass itself. */
const passesPerStep = 1.5;

/** Estimates the time that a stage adds to a complete answer, in milliseconds. */
export function estimateAnswerTime(
    model: EngineModel,
    work: StageWork,
    promptTokens: number,
    answerTokens: number,
): number {
    const passes = answerTokens / model.stepsPerPass;
    return passes * passesPerStep * estimatePassTime(model, work) + estimatePrefillTime(model, work, promptTokens);
}

/**
 * Estimates the time of one pass of token steps at a stage, in milliseconds. Adds the engine's base time and its times for
 * requests and context, scaled by the accelerator kind and the share of the layers.
 */
function estimatePassTime(model: EngineModel, work: StageWork): number {
    const context = model.stepMillisecondsPerThousandTokens * getMeanContext(model) / 1_000;
    const step = model.stepMilliseconds + work.requests * (model.stepMillisecondsPerRequest + context);
    return model.stepsPerPass * step * work.kind.stepFactor * work.slowness * work.layers / model.layers;
}
