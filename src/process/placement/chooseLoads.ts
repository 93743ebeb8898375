import { isSameRange } from "./isSameRange.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** What the choice of loads depends on. */
interface LoadQuery {
    columns: readonly LayerColumn[];
    /** Endpoints that stay, with what they hold or were ordered to hold. */
    endpoints: readonly PlacementEndpoint[];
    /** What should be ordered. */
    assignments: readonly LayerAssignment[];
    /** Loads that endpoints are known to have begun and not ended. */
    loading: number;
    /** Loads at the same time above which each takes longer. */
    loadsAtOnce: number;
}

/**
 * Chooses which assignments are ordered now.
 *
 * The load that it answers is the loss of a fifth of the endpoints under full traffic. All loads together end when the last does, and
 * until then no data centre may have a whole chain. One after the other they take as long in sum, and the data centre that lacks least
 * serves after the first. Where nothing serves yet, as at the start, nobody gains by an order, and all are given at once.
 * @returns The assignments to order, those first after which a data centre has all columns.
 */
export function chooseLoads(
    { columns, endpoints, assignments, loading, loadsAtOnce }: LoadQuery,
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
        const isWhole = columns.some(({ layers }) => isSameRange(assignment.layers, layers));
        return { assignment, lacking: countLacking(columns, endpoints, dataCentre), isWhole };
    });
    ranked.sort((left, right) => left.lacking - right.lacking || Number(right.isWhole) - Number(left.isWhole));
    return ranked.slice(0, Math.max(0, loadsAtOnce - loading)).map(({ assignment }) => assignment);
}

/** Counts the columns that a data centre lacks; those that it is loading count as held. */
function countLacking(
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
    dataCentre: string | undefined,
): number {
    const near = endpoints.filter(endpoint => endpoint.dataCentre === dataCentre);
    return columns.filter(({ layers }) => !near.some(endpoint => isSameRange(endpoint.layers, layers))).length;
}
