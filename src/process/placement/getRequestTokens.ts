import { getRequestMemory } from "../../request/relay/chains/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/**
 * Gets the number of request tokens that fit in an endpoint's memory in addition to the weights of layers; 0 if the
 * weights do not fit.
 */
export function getRequestTokens(
    model: EngineModel,
    layers: HeldLayers,
    endpoint: Pick<PlacementEndpoint, "kind">,
): number {
    const kind = model.kinds.get(endpoint.kind);
    const count = layers.end - layers.start;
    return kind === undefined ? 0 : getRequestMemory(model, kind, count) / count;
}
