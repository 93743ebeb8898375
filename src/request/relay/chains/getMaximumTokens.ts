import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { getRequestMemory } from "./getRequestMemory.ts";

/**
 * Gets the most tokens that a request to a model can have: as many as an accelerator with the most memory holds for a single layer.
 * There is no maximum if no accelerators are known.
 * @param model - Performance figures of the model.
 */
export function getMaximumTokens(model: EngineModel): number {
    if (model.kinds.size === 0) {
        return Infinity;
    }
    let maximum = 0;
    for (const kind of model.kinds.values()) {
        maximum = Math.max(maximum, getRequestMemory(model, kind, 1));
    }
    return maximum;
}
