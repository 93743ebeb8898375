import { chooseLowestRanked } from "./chooseLowestRanked.ts";
import type { ColumnCoverage } from "./columnCoverage.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { LayerMove } from "./layerMove.ts";
import { MovePurpose } from "./movePurpose.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/**
 * Finds an endpoint to move to a column that no endpoint of the fleet holds, from a column of which another endpoint
 * holds a replica. An endpoint whose data centre has another replica is preferred; otherwise, one whose data centre lacks
 * the most columns, so that the others stay close to complete.
 *
 * Handles the loss of the last replica of a column: until it is loaded again, there is no complete chain.
 */
export function findFleetMove(
    fleet: FleetCoverage,
    target: ColumnCoverage,
    endpoints: readonly PlacementEndpoint[],
): LayerMove | undefined {
    const choices = [];
    for (const endpoint of endpoints) {
        if (fleet.fits(target, endpoint) && fleet.canLeave(endpoint, true)) {
            const keepsDataCentre = fleet.canLeave(endpoint, false);
            choices.push({
                endpoint,
                ranks: [
                    keepsDataCentre ? 0 : 1,
                    endpoint.kind === target.column.kind ? 0 : 1,
                    keepsDataCentre ? 0 : -fleet.listLacking(endpoint.dataCentre).length,
                    -fleet.getRemainingTokens(endpoint),
                ],
            });
        }
    }
    const endpoint = chooseLowestRanked(choices)?.endpoint;
    return endpoint === undefined
        ? undefined
        : { endpointId: endpoint.id, layers: target.layers, purpose: MovePurpose.FleetLacks };
}
