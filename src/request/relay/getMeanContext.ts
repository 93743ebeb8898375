import type { EngineModel } from "../../version/routing/engineModel.ts";

/** Gets the mean context of a usual request over its answer, in tokens. */
export function getMeanContext({ usualPromptTokens, usualAnswerTokens }: EngineModel): number {
    return usualPromptTokens + usualAnswerTokens / 2;
}
