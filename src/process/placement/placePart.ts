import { chooseLowestRanked } from "./chooseLowestRanked.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import type { ReplicaSet } from "./replicaSet.ts";

/**
 * Decides which endpoint takes a part of a column, if one can: a free one first, then one whose column or part another one has loaded.
 */
export function placePart(fleet: FleetCoverage, part: ReplicaSet, endpoints: readonly PlacementEndpoint[]): void {
    const choices = [];
    for (const endpoint of endpoints) {
        const held = fleet.getHeld(endpoint);
        const isFree = fleet.isFree(endpoint) && held === undefined;
        const isSpare = held !== undefined && held.replicas.size > 1 && fleet.canLeave(endpoint, true);
        if ((isFree || isSpare) && fleet.fits(part, endpoint)) {
            choices.push({ endpoint, ranks: [isFree ? 0 : 1, endpoint.kind === part.column.kind ? 0 : 1] });
        }
    }
    const endpoint = chooseLowestRanked(choices)?.endpoint;
    if (endpoint !== undefined) {
        fleet.place(endpoint, part);
    }
}
