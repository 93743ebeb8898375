import type { ColumnCoverage } from "./columnCoverage.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import { getRequestTokens } from "./getRequestTokens.ts";
import type { LayerMove } from "./layerMove.ts";
import { MovePurpose } from "./movePurpose.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** A move must leave both columns with at least this many times the memory that the weakest column had before. */
const minimumMemoryGain = 1.2;

/**
 * Finds an endpoint to move to the column with the least memory from a column of which its data centre has another
 * replica, so that the move makes no data centre incomplete. Only one endpoint moves at a time, since it can't serve
 * during the load.
 */
export function findBalanceMove(fleet: FleetCoverage): LayerMove | undefined {
    const [weakest, ...others] = fleet.columns.toSorted((left, right) => left.tokens - right.tokens);
    if (weakest === undefined || weakest.replicas.size === 0) {
        return undefined;
    }
    // An endpoint of another kind changes the column's speed from the plan, and its own column loses a planned replica.
    const sources = others.filter(({ column }) => column.kind === weakest.column.kind);
    const endpoint = findEndpointToMove(fleet, weakest, sources) ?? findEndpointToMove(fleet, weakest, others);
    return endpoint === undefined
        ? undefined
        : { endpointId: endpoint.id, layers: weakest.layers, purpose: MovePurpose.Balance };
}

/** Gets the endpoint whose move leaves the weaker of the two columns with the most memory. */
function findEndpointToMove(
    fleet: FleetCoverage,
    weakest: ColumnCoverage,
    sources: readonly ColumnCoverage[],
): PlacementEndpoint | undefined {
    let best: PlacementEndpoint | undefined;
    let bestRemaining = weakest.tokens * minimumMemoryGain;
    for (const source of sources) {
        // Parts of a column do not replace a faster replica of the whole, but are not needed beside one.
        const wholeHolders = [...source.replicas.values()].filter(({ dataCentre }) =>
            source.counts.get(dataCentre)! > 1
        );
        const partHolders = source.partitions.flat().flatMap(({ replicas }) => [...replicas.values()]);
        for (const endpoint of [...wholeHolders, ...partHolders]) {
            const gained = weakest.tokens + getRequestTokens(fleet.model, weakest.layers, endpoint);
            const remaining = Math.min(fleet.getRemainingTokens(endpoint), gained);
            if (remaining > bestRemaining && fleet.fits(weakest, endpoint) && fleet.canLeave(endpoint, false)) {
                bestRemaining = remaining;
                best = endpoint;
            }
        }
    }
    return best;
}
