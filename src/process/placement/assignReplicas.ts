import { chooseLowestRanked } from "./chooseLowestRanked.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import type { ReplicaSet } from "./replicaSet.ts";

/**
 * Assigns replicas of columns, or of parts of them, to free endpoints that no data centre needs to be complete. Endpoints
 * with the least memory choose first, since fewer columns fit them.
 */
export function assignReplicas(fleet: FleetCoverage, endpoints: readonly PlacementEndpoint[]): void {
    const free = endpoints.filter(endpoint => fleet.isFree(endpoint) && fleet.getHeld(endpoint) === undefined);
    free.sort((left, right) => fleet.getMemory(left) - fleet.getMemory(right));
    for (const endpoint of free) {
        const set = chooseColumn(fleet, endpoint) ?? choosePart(fleet, endpoint);
        if (set !== undefined) {
            fleet.place(endpoint, set);
        }
    }
}

/**
 * Chooses a column for an endpoint, preferring columns that were sized for its kind. Among these, a column without
 * replicas comes first, then the one with the fewest replicas in the endpoint's data centre.
 */
function chooseColumn(fleet: FleetCoverage, endpoint: PlacementEndpoint): ReplicaSet | undefined {
    const fitting = fleet.columns.filter(coverage => fleet.fits(coverage, endpoint));
    const ofKind = fitting.filter(({ column }) => column.kind === endpoint.kind);
    const choices = (ofKind.length > 0 ? ofKind : fitting).map(coverage => ({
        coverage,
        ranks: [coverage.replicas.size === 0 ? 0 : 1, countNearby(coverage, endpoint), coverage.replicas.size],
    }));
    return chooseLowestRanked(choices)?.coverage;
}

/**
 * Chooses a part of a column for an endpoint that can't hold any column completely. Several such endpoints in a data
 * centre form a replica of the column. They also serve requests during the seconds in which a lost replica is loaded
 * again.
 */
function choosePart(fleet: FleetCoverage, endpoint: PlacementEndpoint): ReplicaSet | undefined {
    const choices = [];
    for (const coverage of fleet.columns) {
        const partition = coverage.partitions.find(parts => parts.every(part => fleet.fits(part, endpoint)));
        if (partition === undefined) {
            continue;
        }
        const heldPartCount = partition.filter(part => countNearby(part, endpoint) > 0).length;
        for (const part of partition) {
            const nearbyCount = countNearby(coverage, endpoint) + countNearby(part, endpoint);
            const replicaCount = coverage.replicas.size + part.replicas.size;
            choices.push({ part, ranks: [nearbyCount, -heldPartCount, partition.length, replicaCount] });
        }
    }
    return chooseLowestRanked(choices)?.part;
}

function countNearby({ counts }: ReplicaSet, { dataCentre }: PlacementEndpoint): number {
    return counts.get(dataCentre) ?? 0;
}
