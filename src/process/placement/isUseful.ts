import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import { getRequestTokens } from "./getRequestTokens.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** Least number of requests of usual size for which a useful endpoint has memory. */
const usefulRequests = 8;

/** Checks if an endpoint that holds layers has enough memory left for a few requests of usual size. */
export function isUseful(model: EngineModel, layers: HeldLayers, endpoint: Pick<PlacementEndpoint, "kind">): boolean {
    const minimumTokens = usefulRequests * (model.typicalPromptTokens + model.typicalAnswerTokens);
    return getRequestTokens(model, layers, endpoint) >= minimumTokens;
}
