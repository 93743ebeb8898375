import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import { isSameRange } from "./isSameRange.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** Input of {@link chooseLoads}. */
interface LoadQuery {
    columns: readonly LayerColumn[];
    /** Endpoints that are not draining, with the layers that they hold or were ordered to hold. */
    endpoints: readonly PlacementEndpoint[];
    /** Assignments that should be ordered now or later. */
    assignments: readonly LayerAssignment[];
    /** Number of loads that endpoints have begun and, as far as known, not completed. */
    activeLoads: number;
    /** Most concurrent loads that don't slow each other down. */
    loadsAtOnce: number;
}

/** What a load gains. Lower values go first. */
const LoadGain = {
    /** A range that no endpoint of the fleet holds. */
    Fleet: 0,
    /** A range that no endpoint of the data centre holds. */
    DataCentre: 1,
    /** A further replica. */
    Replica: 2,
} as const;

/**
 * Chooses the assignments to order now. The number of concurrent loads is limited if any endpoint holds layers.
 * Otherwise, as at the start, all loads are ordered at once, since no order of loads would let it serve earlier.
 *
 * The limit is meant for the loss of a fifth of the endpoints under full traffic. If all loads run concurrently, they
 * end at the same time, and until then there may be no complete chain. One after the other they take as long in total, but
 * the service can run requests after the first loads.
 * @returns The assignments to order: first what the fleet lacks, then what a data centre lacks, the one that lacks the fewest columns
 * first, then replicas. Among equals, complete columns go before parts, and smaller ranges, which load sooner, before larger ones.
 */
export function chooseLoads(
    { columns, endpoints, assignments, activeLoads, loadsAtOnce }: LoadQuery,
): readonly LayerAssignment[] {
    const isStarting = !endpoints.some(({ isBusy, layers }) => !isBusy && layers !== undefined);
    if (isStarting) {
        return assignments;
    }
    const chosen: LayerAssignment[] = [];
    let remaining = assignments;
    let expected = endpoints;
    while (remaining.length > 0 && chosen.length < loadsAtOnce - activeLoads) {
        const best = findBest(columns, expected, remaining);
        chosen.push(best);
        remaining = remaining.filter(assignment => assignment !== best);
        expected = expected.map(endpoint =>
            endpoint.id === best.endpointId ? { ...endpoint, layers: best.layers } : endpoint
        );
    }
    return chosen;
}

/** Gets the assignment that gains most, given what the endpoints hold or will hold. */
function findBest(
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
    assignments: readonly LayerAssignment[],
): LayerAssignment {
    const dataCentres = new Map(endpoints.map(({ id, dataCentre }) => [id, dataCentre]));
    const ranked = assignments.map(assignment => {
        const { layers, endpointId } = assignment;
        const local = endpoints.filter(({ dataCentre }) => dataCentre === dataCentres.get(endpointId));
        const gain = getGain(layers, endpoints, local);
        const missing = columns.filter(column => !isCovered(column.layers, local)).length;
        const isPart = !columns.some(column => isSameRange(layers, column.layers));
        const ranks = [gain, gain === LoadGain.Fleet ? 0 : missing, Number(isPart), layers.end - layers.start, missing];
        return { assignment, ranks };
    });
    ranked.sort((left, right) => {
        const differing = left.ranks.findIndex((rank, index) => rank !== right.ranks[index]);
        return differing < 0 ? 0 : left.ranks[differing]! - right.ranks[differing]!;
    });
    return ranked[0]!.assignment;
}

function getGain(
    layers: HeldLayers,
    endpoints: readonly PlacementEndpoint[],
    local: readonly PlacementEndpoint[],
): number {
    if (!isCovered(layers, endpoints)) {
        return LoadGain.Fleet;
    }
    return isCovered(layers, local) ? LoadGain.Replica : LoadGain.DataCentre;
}

/** Checks if endpoints hold or are loading a range, completely or in parts that lie within it. */
function isCovered(range: HeldLayers, endpoints: readonly PlacementEndpoint[]): boolean {
    const held = endpoints.flatMap(({ layers }) => layers === undefined ? [] : [layers]);
    const containing = held.some(layers => layers.start <= range.start && range.end <= layers.end);
    if (containing) {
        return true;
    }
    const parts = held.filter(layers => range.start <= layers.start && layers.end <= range.end);
    let end = range.start;
    for (const part of parts.toSorted((left, right) => left.start - right.start)) {
        if (part.start === end) {
            end = part.end;
        }
    }
    return end === range.end;
}
