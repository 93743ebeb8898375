import type { EngineModel } from "../../../version/routing/engineModel.ts";

/** Gets the mean context length of a usual request while it is answered, in tokens. */
export function getMeanContext(
    { typicalPromptTokens, typicalAnswerTokens }: EngineModel,
): number {
    return typicalPromptTokens + typicalAnswerTokens / 2;
}
