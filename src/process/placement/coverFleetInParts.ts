import { chooseLowestRanked } from "./chooseLowestRanked.ts";
import type { ColumnCoverage } from "./columnCoverage.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import { placePart } from "./placePart.ts";

/**
 * Decides which endpoints take the parts of a column that no endpoint of the fleet holds: free endpoints first, then endpoints whose
 * column or part another one has loaded.
 *
 * Handles the loss of a column where no endpoint can hold it alone. Data centres that complete only themselves would take endpoints for
 * parts that others hold, and the fleet would lack the column for good.
 */
export function coverFleetInParts(
    fleet: FleetCoverage,
    coverage: ColumnCoverage,
    endpoints: readonly PlacementEndpoint[],
): void {
    const partitions = coverage.partitions.map(all => {
        const parts = all.filter(part => part.counts.size === 0);
        return { parts, ranks: [parts.length] };
    });
    for (const part of chooseLowestRanked(partitions)?.parts ?? []) {
        placePart(fleet, part, endpoints);
    }
}
