import type { EngineModel } from "../../version/routing/engineModel.ts";
import { decideLayers } from "./decideLayers.ts";
import { FleetCoverage } from "./fleetCoverage.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { LayerDecisions } from "./layerDecisions.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/**
 * Decides which endpoints load which columns of a plan, as {@link decideLayers} does.
 * @param model - Performance figures of the model.
 * @param columns - Columns of the plan.
 * @param endpoints - Endpoints that are not draining, with the layers that they hold.
 */
export function assignLayers(
    model: EngineModel,
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
    isLossFinal = false,
): LayerDecisions {
    return decideLayers(FleetCoverage.create(model, columns, endpoints), endpoints, isLossFinal);
}
