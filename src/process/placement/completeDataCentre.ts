import { chooseLowestRanked } from "./chooseLowestRanked.ts";
import type { ColumnCoverage } from "./columnCoverage.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";
import type { ReplicaSet } from "./replicaSet.ts";

/** An endpoint that leaves its column for another one as soon as a further endpoint holds its column. */
interface Succession {
    endpoint: PlacementEndpoint;
    to: ReplicaSet;
}

/**
 * Decides which endpoints of a data centre take the columns that it lacks, with as few loads as possible: free endpoints,
 * endpoints whose column has another replica in the data centre and, if no such endpoint fits, endpoints whose column one
 * of these takes over. If whole columns can't complete the data centre, endpoints that it can spare hold columns in
 * parts.
 *
 * Handles the loss of the last replica of a column in a data centre. Without it, each chain of the data centre uses links
 * to other data centres, which are saturated as soon as several data centres lack columns.
 *
 * If the data centre can't be complete, only free endpoints and endpoints of the kind that a column was sized for take
 * the lacking columns, since its chains use links in any case.
 */
export function completeDataCentre(fleet: FleetCoverage, dataCentre: string): void {
    const decisionCount = fleet.getDecisionCount();
    coverColumns(fleet, dataCentre, true);
    for (const coverage of fleet.listLacking(dataCentre)) {
        if (!coverInParts(fleet, dataCentre, coverage)) {
            coverByFreedEndpoints(fleet, dataCentre, coverage);
        }
    }
    if (fleet.listLacking(dataCentre).length === 0) {
        return;
    }
    fleet.rollback(decisionCount);
    coverColumns(fleet, dataCentre, false);
    for (const coverage of fleet.listLacking(dataCentre)) {
        if (!fleet.isCoveredByFleet(coverage)) {
            coverInParts(fleet, dataCentre, coverage);
        }
    }
}

function coverColumns(fleet: FleetCoverage, dataCentre: string, mayMoveAnyKind: boolean): void {
    const lacking = fleet.listLacking(dataCentre).map(coverage => ({
        coverage,
        ranks: [fleet.isCoveredByFleet(coverage) ? 1 : 0, coverage.replicas.size],
    }));
    while (lacking.length > 0) {
        const choice = chooseLowestRanked(lacking)!;
        lacking.splice(lacking.indexOf(choice), 1);
        coverLayers(fleet, dataCentre, choice.coverage, mayMoveAnyKind);
    }
}

/**
 * Decides the shortest succession of endpoints by which a data centre gets a column or part.
 * @returns Whether there is one.
 */
function coverLayers(
    fleet: FleetCoverage,
    dataCentre: string,
    target: ReplicaSet,
    mayMoveAnyKind: boolean,
): boolean {
    const endpoints = fleet.dataCentres.get(dataCentre) ?? [];
    const successions = new Map<ReplicaSet, Succession>();
    const queue = [target];
    for (const coverage of queue) {
        const fitting = endpoints.filter(endpoint =>
            !endpoint.isBusy
            && !holdsSingly(fleet, endpoint, coverage)
            && fleet.fits(coverage, endpoint)
            && (mayMoveAnyKind || fleet.isFree(endpoint) || endpoint.kind === coverage.column.kind)
        );
        const available = chooseAvailable(fleet, coverage, fitting);
        if (available !== undefined) {
            placeInSuccession(fleet, successions, available, coverage);
            return true;
        }
        fitting.sort((left, right) => getKindRank(left, coverage) - getKindRank(right, coverage));
        for (const endpoint of fitting) {
            const held = fleet.getHeld(endpoint);
            const next = held === undefined ? undefined : fleet.getWhole(held);
            // An endpoint that holds a part can't be replaced by one that takes the whole column.
            if (next === held && next !== undefined && next !== target && !successions.has(next)) {
                successions.set(next, { endpoint, to: coverage });
                queue.push(next);
            }
        }
    }
    return false;
}

/** Checks if an endpoint holds a column, or the only replica of a part of it in its data centre. */
function holdsSingly(fleet: FleetCoverage, endpoint: PlacementEndpoint, { column }: ReplicaSet): boolean {
    const held = fleet.getHeld(endpoint);
    return held?.column === column && (held === fleet.getWhole(held) || held.counts.get(endpoint.dataCentre) === 1);
}

function placeInSuccession(
    fleet: FleetCoverage,
    successions: ReadonlyMap<ReplicaSet, Succession>,
    available: PlacementEndpoint,
    to: ReplicaSet,
): void {
    fleet.place(available, to);
    for (let next = successions.get(to); next !== undefined; next = successions.get(next.to)) {
        fleet.place(next.endpoint, next.to);
    }
}

/**
 * Splits a column among endpoints that the data centre can spare, if the parts together fit.
 * @returns Whether they do.
 */
function coverInParts(fleet: FleetCoverage, dataCentre: string, { partitions }: ColumnCoverage): boolean {
    const decisionCount = fleet.getDecisionCount();
    const lacking = partitions.map(parts => parts.filter(({ counts }) => !counts.has(dataCentre)));
    lacking.sort((left, right) => left.length - right.length);
    for (const parts of lacking) {
        if (parts.every(part => coverLayers(fleet, dataCentre, part, true))) {
            return true;
        }
        fleet.rollback(decisionCount);
    }
    return false;
}

/** Splits a column among the endpoints of another column, which smaller endpoints take over in parts. */
function coverByFreedEndpoints(fleet: FleetCoverage, dataCentre: string, target: ColumnCoverage): void {
    const decisionCount = fleet.getDecisionCount();
    for (const other of fleet.columns) {
        const isTried = other !== target && other.counts.has(dataCentre) && coverInParts(fleet, dataCentre, other);
        if (isTried && coverInParts(fleet, dataCentre, target)) {
            return;
        }
        fleet.rollback(decisionCount);
    }
}

/** Chooses among endpoints one that is free or whose column has another replica in the data centre. */
function chooseAvailable(
    fleet: FleetCoverage,
    target: ReplicaSet,
    endpoints: readonly PlacementEndpoint[],
): PlacementEndpoint | undefined {
    const choices = [];
    for (const endpoint of endpoints) {
        const held = fleet.getHeld(endpoint);
        if (held === undefined || fleet.isSpare(endpoint)) {
            const isFree = fleet.isFree(endpoint);
            choices.push({
                endpoint,
                ranks: [
                    isFree ? 0 : 1,
                    isFree || fleet.canLeave(endpoint, false) ? 0 : 1,
                    // Larger endpoints are left for whole columns.
                    target === fleet.getWhole(target) ? getKindRank(endpoint, target) : fleet.getMemory(endpoint),
                    isFree ? fleet.getMemory(endpoint) : -fleet.getRemainingTokens(endpoint),
                ],
            });
        }
    }
    return chooseLowestRanked(choices)?.endpoint;
}

function getKindRank({ kind }: PlacementEndpoint, { column }: ReplicaSet): number {
    return kind === column.kind ? 0 : 1;
}
