import type { ColumnCoverage } from "./columnCoverage.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** Lists the columns that the fleet lacks and that no endpoint can take as a whole, because of its memory or of what it holds alone. */
export function listLostColumns(fleet: FleetCoverage, endpoints: readonly PlacementEndpoint[]): ColumnCoverage[] {
    const canTake = (endpoint: PlacementEndpoint) =>
        endpoint.isBusy || fleet.isFree(endpoint) || fleet.canLeave(endpoint, true);
    return fleet.columns.filter(coverage =>
        !fleet.isCoveredByFleet(coverage)
        && !endpoints.some(endpoint => fleet.fits(coverage, endpoint) && canTake(endpoint))
    );
}
