import type { ColumnCoverage } from "./columnCoverage.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import { placePart } from "./placePart.ts";

/**
 * Decides which endpoints take a column that no endpoint of the fleet can take as a whole, in parts as small as their memory asks for. Takes
 * none if they don't hold all of the column together.
 *
 * Handles the loss of all endpoints that have the memory for a column. Until one of them returns, there is no complete chain without it.
 */
export function coverLostColumn(
    fleet: FleetCoverage,
    { partitions, smallPartitions }: ColumnCoverage,
    endpoints: readonly PlacementEndpoint[],
): void {
    const lacking = [...partitions, ...smallPartitions].map(parts => parts.filter(({ counts }) => counts.size === 0));
    lacking.sort((left, right) => left.length - right.length);
    const decisionCount = fleet.getDecisionCount();
    for (const parts of lacking) {
        for (const part of parts) {
            placePart(fleet, part, endpoints);
        }
        if (parts.every(({ counts }) => counts.size > 0)) {
            return;
        }
        fleet.rollback(decisionCount);
    }
}
