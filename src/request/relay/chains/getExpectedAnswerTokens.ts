import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { RoutedRequest } from "../routedRequest.ts";

/** Gets the caller's estimate of the length of the answer, or the usual length, limited to the requested maximum. */
export function getExpectedAnswerTokens(
    model: Pick<EngineModel, "typicalAnswerTokens">,
    { expectedAnswerTokens, maximumAnswerTokens }: Pick<RoutedRequest, "expectedAnswerTokens" | "maximumAnswerTokens">,
): number {
    return Math.min(expectedAnswerTokens || model.typicalAnswerTokens, maximumAnswerTokens || Infinity);
}
