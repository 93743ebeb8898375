import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { StageWork } from "./stageWork.ts";

/** Estimates the prefill time of a prompt at a stage, in milliseconds. */
export function estimatePrefillTime(model: EngineModel, work: StageWork, promptTokens: number): number {
    const baseMilliseconds = promptTokens / model.prefillTokensPerMillisecond;
    return baseMilliseconds * work.kind.prefillFactor * work.slowness * work.layers / model.layers;
}
