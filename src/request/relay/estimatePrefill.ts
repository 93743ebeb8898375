import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { StageWork } from "./stageWork.ts";

/** Estimates the time that a stage needs to read a prompt, in milliseconds. */
export function estimatePrefill(model: EngineModel, work: StageWork, promptTokens: number): number {
    const reading = promptTokens / model.prefillTokensOfMillisecond;
    return reading * work.kind.prefillFactor * work.slowness * work.layers / model.layers;
}
