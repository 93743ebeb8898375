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

/**
 * Chooses the assignments to order now. The number of concurrent loads is limited if the service can serve requests.
 * Otherwise, as at the start, all loads are ordered at once, since no order of loads would let it serve earlier.
 *
 * The limit is meant for the loss of a fifth of the endpoints under full traffic. If all loads run concurrently, they
 * end at the same time, and until then there may be no data centre with a complete chain. One after the other they take
 * as long in total, but the data centre that lacks the fewest columns can serve after the first load.
 * @returns The assignments to order, with the data centre that lacks the fewest columns first and complete columns before
 * parts.
 */
export function chooseLoads(
    { columns, endpoints, assignments, activeLoads, loadsAtOnce }: LoadQuery,
): readonly LayerAssignment[] {
    const isServing = columns.every(({ layers }) =>
        endpoints.some(endpoint => !endpoint.isBusy && isSameRange(endpoint.layers, layers))
    );
    if (!isServing) {
        return assignments;
    }
    const dataCentres = new Map(endpoints.map(({ id, dataCentre }) => [id, dataCentre]));
    const ranked = assignments.map(assignment => {
        const dataCentre = dataCentres.get(assignment.endpointId);
        const isCompleteColumn = columns.some(({ layers }) => isSameRange(assignment.layers, layers));
        return { assignment, missing: countMissingColumns(columns, endpoints, dataCentre), isCompleteColumn };
    });
    ranked.sort((left, right) =>
        left.missing - right.missing || Number(right.isCompleteColumn) - Number(left.isCompleteColumn)
    );
    return ranked.slice(0, Math.max(0, loadsAtOnce - activeLoads)).map(({ assignment }) => assignment);
}

/** Counts the columns that no endpoint in a data centre holds or is loading. */
function countMissingColumns(
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
    dataCentre: string | undefined,
): number {
    const local = endpoints.filter(endpoint => endpoint.dataCentre === dataCentre);
    return columns.filter(({ layers }) => !local.some(endpoint => isSameRange(endpoint.layers, layers))).length;
}
