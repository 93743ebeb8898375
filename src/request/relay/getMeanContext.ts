import type { EngineModel } from "../../version/routing/engineModel.ts";

/** Gets the mean context length of a usual request while it is answered, in tokens. */
export function getMeanContext(
    { typicalPromptTokens: usualPromptTokens, typicalAnswerTokens: usualAnswerTokens }: EngineModel,
): number {
    return usualPromptTokens + usualAnswerTokens / 2;
}
