import { assignReplicas } from "./assignReplicas.ts";
import type { ColumnCoverage } from "./columnCoverage.ts";
import { completeDataCentre } from "./completeDataCentre.ts";
import { coverFleetInParts } from "./coverFleetInParts.ts";
import { coverLostColumn } from "./coverLostColumn.ts";
import { findBalanceMove } from "./findBalanceMove.ts";
import { findFleetMove } from "./findFleetMove.ts";
import type { FleetCoverage } from "./fleetCoverage.ts";
import type { LayerDecisions } from "./layerDecisions.ts";
import type { LayerMove } from "./layerMove.ts";
import { listLostColumns } from "./listLostColumns.ts";
import { MovePurpose } from "./movePurpose.ts";
import type { PlacementDecision } from "./placementDecision.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/**
 * Assigns columns to empty endpoints, and decides which endpoints should move to another column. Columns that a data
 * centre lacks come first, with the data centre that lacks the fewest; replicas and balance come after. Other endpoints
 * keep their column, since a load takes seconds.
 * @param fleet - Coverage of the plan's columns without decisions. The decisions are added to it.
 * @param endpoints - The endpoints of the coverage.
 * @param isLossFinal - Whether endpoints that could take a lost column as a whole aren't expected to register or return soon, so that others
 * take it in parts as small as their memory asks for.
 */
export function decideLayers(
    fleet: FleetCoverage,
    endpoints: readonly PlacementEndpoint[],
    isLossFinal: boolean,
): LayerDecisions {
    const fleetLacks = fleet.columns.filter(coverage => !fleet.isCoveredByFleet(coverage));
    let completions = decideAll(fleet, fleetLacks, endpoints);
    const lost = isLossFinal ? listLostColumns(fleet, endpoints) : [];
    if (lost.length > 0) {
        // Endpoints for the parts may have been chosen as replicas of other columns.
        fleet.rollback(0);
        for (const coverage of lost) {
            coverLostColumn(fleet, coverage, endpoints);
        }
        completions = decideAll(fleet, fleetLacks, endpoints);
    }
    const planned = completions.filter(({ endpoint }) => !fleet.isFree(endpoint));
    const urgent = fleetLacks.filter(coverage => isMoveNeeded(fleet, coverage, completions));
    const assignments = fleet.listDecisions()
        .filter(({ endpoint }) => fleet.isFree(endpoint))
        .map(({ endpoint, to: { layers } }) => ({ endpointId: endpoint.id, layers }));
    if (planned.length === 0 && urgent.length === 0) {
        const move = findBalanceMove(fleet);
        return { assignments, moves: move === undefined ? [] : [move] };
    }
    return { assignments, moves: listUrgentMoves(fleet, { planned, urgent, endpoints }) };
}

/** Decides what endpoints are to hold, beside what is decided already. Returns the decisions that complete columns. */
function decideAll(
    fleet: FleetCoverage,
    fleetLacks: readonly ColumnCoverage[],
    endpoints: readonly PlacementEndpoint[],
): PlacementDecision[] {
    const decidedBefore = fleet.getDecisionCount();
    let completions = fleet.listDecisions();
    assignReplicas(fleet, endpoints);
    if (listIncomplete(fleet).length > 0) {
        // The planned kinds of free endpoints don't complete each data centre, so their kind may only break ties.
        fleet.rollback(decidedBefore);
        for (const dataCentre of listIncomplete(fleet)) {
            completeDataCentre(fleet, dataCentre);
        }
        completions = fleet.listDecisions();
        assignReplicas(fleet, endpoints);
    }
    const lackedInParts = fleetLacks.filter(coverage =>
        !fleet.isCoveredByFleet(coverage) && isOnlyHeldInParts(fleet, coverage, endpoints)
    );
    if (lackedInParts.length > 0) {
        // Endpoints that complete their data centre in parts may be the ones that the fleet needs.
        fleet.rollback(decidedBefore);
        for (const coverage of lackedInParts) {
            coverFleetInParts(fleet, coverage, endpoints);
        }
        for (const dataCentre of listIncomplete(fleet)) {
            completeDataCentre(fleet, dataCentre);
        }
        completions = fleet.listDecisions();
        assignReplicas(fleet, endpoints);
    }
    return completions;
}

/**
 * Checks if a column can only be held in parts. If no endpoint of its kind is there, one that can hold it as a whole may still register
 * or return.
 */
function isOnlyHeldInParts(
    fleet: FleetCoverage,
    coverage: ColumnCoverage,
    endpoints: readonly PlacementEndpoint[],
): boolean {
    return endpoints.some(({ kind }) => kind === coverage.column.kind)
        && !endpoints.some(endpoint => fleet.fits(coverage, endpoint));
}

/** Lists the data centres that lack columns, with the one that lacks the fewest first. */
function listIncomplete(fleet: FleetCoverage): string[] {
    const counts = [...fleet.dataCentres.keys()].map(name => ({ name, lacking: fleet.listLacking(name).length }));
    counts.sort((left, right) => left.lacking - right.lacking);
    return counts.filter(({ lacking }) => lacking > 0).map(({ name }) => name);
}

/** Checks if no free endpoints are to load a column that the fleet lacks. */
function isMoveNeeded(
    fleet: FleetCoverage,
    coverage: ColumnCoverage,
    completions: readonly PlacementDecision[],
): boolean {
    const related = completions.filter(({ to }) => to.column === coverage.column);
    const isAssigned = related.some(({ endpoint, to }) => to === coverage && fleet.isFree(endpoint));
    return !fleet.isCoveredByFleet(coverage)
        || (!isAssigned && related.some(({ endpoint }) => !fleet.isFree(endpoint)));
}

/** Lists the moves to columns that the fleet or a data centre lacks. */
function listUrgentMoves(
    fleet: FleetCoverage,
    { planned, urgent, endpoints }: {
        planned: readonly PlacementDecision[];
        urgent: readonly ColumnCoverage[];
        endpoints: readonly PlacementEndpoint[];
    },
): LayerMove[] {
    const ready = planned.filter(({ endpoint }) => fleet.canLeave(endpoint, false));
    const readyForFleet = planned.filter(({ endpoint }) => fleet.canLeave(endpoint, true));
    const fleetMove = findReadyFleetMove(ready, urgent)
        ?? findAnyFleetMove(fleet, urgent, endpoints)
        ?? findReadyFleetMove(readyForFleet, urgent);
    const moves = fleetMove === undefined ? [] : [fleetMove];
    // One move for each data centre, since the next one may depend on which endpoints have loaded their layers by then.
    const moving = new Set(
        endpoints.filter(({ id }) => id === fleetMove?.endpointId).map(({ dataCentre }) => dataCentre),
    );
    for (const { endpoint: { id, dataCentre }, to: { layers } } of ready) {
        if (!moving.has(dataCentre)) {
            moving.add(dataCentre);
            moves.push({ endpointId: id, layers, purpose: MovePurpose.DataCentreLacks });
        }
    }
    return moves;
}

function findReadyFleetMove(
    ready: readonly PlacementDecision[],
    urgent: readonly ColumnCoverage[],
): LayerMove | undefined {
    const decision = ready.find(({ to }) => urgent.some(({ column }) => column === to.column));
    return decision === undefined
        ? undefined
        : { endpointId: decision.endpoint.id, layers: decision.to.layers, purpose: MovePurpose.FleetLacks };
}

function findAnyFleetMove(
    fleet: FleetCoverage,
    urgent: readonly ColumnCoverage[],
    endpoints: readonly PlacementEndpoint[],
): LayerMove | undefined {
    for (const coverage of urgent) {
        const move = findFleetMove(fleet, coverage, endpoints);
        if (move !== undefined) {
            return move;
        }
    }
    return undefined;
}
