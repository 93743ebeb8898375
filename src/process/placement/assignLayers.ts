import { getRequestMemory } from "../../request/relay/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** The move of an endpoint from one column to another. */
interface LayerMove extends LayerAssignment {
    /** Whether nobody holds the column, so that no chain exists without the move. */
    isUrgent: boolean;
}

/** What should be ordered. */
interface LayerDecisions {
    /** For endpoints that hold no column. */
    assignments: LayerAssignment[];
    move: LayerMove | undefined;
}

/** How well a column is covered. */
interface ColumnCover {
    column: LayerColumn;
    replicas: PlacementEndpoint[];
    /** Memory for requests of all replicas, in tokens. */
    tokens: number;
}

/** A move must leave the weaker of the two columns with so many times the memory that the weak one had before. */
const leastGain = 1.2;

/**
 * Decides which empty endpoint takes which column, and whether one should move to a column that is short of replicas.
 * Endpoints that hold a column keep it otherwise, since a load takes seconds.
 * @param model - Figures of the model.
 * @param columns - Columns of the plan.
 * @param endpoints - Endpoints that stay, with what they hold.
 */
export function assignLayers(
    model: EngineModel,
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
): LayerDecisions {
    const covers = columns.map(column => ({ column, replicas: [] as PlacementEndpoint[], tokens: 0 }));
    const free: PlacementEndpoint[] = [];
    for (const endpoint of endpoints) {
        const cover = covers.find(({ column }) => isSameRange(column.layers, endpoint.layers));
        if (cover === undefined) {
            free.push(endpoint);
            continue;
        }
        addReplica(model, cover, endpoint);
    }
    const assignments: LayerAssignment[] = [];
    // Those with the least choice first: what fits into little memory is left to them.
    free.sort((left, right) => getMemory(model, left) - getMemory(model, right));
    for (const endpoint of free.filter(({ isBusy }) => !isBusy)) {
        const cover = chooseColumn(model, covers, endpoint);
        if (cover !== undefined) {
            addReplica(model, cover, endpoint);
            assignments.push({ endpointId: endpoint.id, layers: cover.column.layers });
        }
    }
    const assigned = new Set(assignments.map(({ endpointId }) => endpointId));
    return { assignments, move: findMove(model, covers, assigned) };
}

function isSameRange(left: HeldLayers, right: HeldLayers | undefined): boolean {
    return left.start === right?.start && left.end === right.end;
}

function addReplica(model: EngineModel, cover: ColumnCover, endpoint: PlacementEndpoint): void {
    cover.replicas.push(endpoint);
    cover.tokens += getTokens(model, cover.column, endpoint);
}

function getMemory(model: EngineModel, endpoint: PlacementEndpoint): number {
    return model.kinds.get(endpoint.kind)?.memoryMegabytes ?? 0;
}

/** Gets the tokens of requests that an endpoint has room for beside a column's weights; 0 where these don't fit. */
function getTokens(model: EngineModel, { layers }: LayerColumn, endpoint: PlacementEndpoint): number {
    const kind = model.kinds.get(endpoint.kind);
    const count = layers.end - layers.start;
    return kind === undefined ? 0 : getRequestMemory(model, kind, count) / count;
}

/**
 * Chooses the column for an empty endpoint: one that nobody holds, or else the one of its kind that is covered least,
 * first of all in its data centre.
 */
function chooseColumn(
    model: EngineModel,
    covers: readonly ColumnCover[],
    endpoint: PlacementEndpoint,
): ColumnCover | undefined {
    const fitting = covers.filter(({ column }) => getTokens(model, column, endpoint) >= getLeastTokens(model));
    const ofKind = fitting.filter(({ column }) => column.kind === endpoint.kind);
    let best: ColumnCover | undefined;
    let bestRank = Infinity;
    for (const cover of ofKind.length > 0 ? ofKind : fitting) {
        const nearby = cover.replicas.filter(({ dataCentre }) => dataCentre === endpoint.dataCentre).length;
        const rank = cover.replicas.length + nearbyWeight * nearby;
        if (rank < bestRank) {
            bestRank = rank;
            best = cover;
        }
    }
    return best;
}

/** A replica of the same data centre counts for so many more, so that each data centre gets a part of each column. */
const nearbyWeight = 0.9;

/** An endpoint without room for some usual requests is of no use. */
function getLeastTokens(model: EngineModel): number {
    const usefulRequests = 8;
    return usefulRequests * (model.usualPromptTokens + model.usualAnswerTokens);
}

/** Finds the endpoint that should leave a well covered column for the weakest one. One at a time: moves cost service. */
function findMove(
    model: EngineModel,
    covers: readonly ColumnCover[],
    assigned: ReadonlySet<string>,
): LayerMove | undefined {
    const [weakest, ...others] = covers.toSorted((left, right) => left.tokens - right.tokens);
    if (weakest === undefined) {
        return undefined;
    }
    // Another kind makes the column faster or slower than planned, and is missed where the plan wants it.
    const givers = others.filter(({ column }) => column.kind === weakest.column.kind);
    const endpointId = findGiver(model, weakest, givers, assigned) ?? findGiver(model, weakest, others, assigned);
    const isUrgent = weakest.replicas.length === 0;
    return endpointId === undefined ? undefined : { endpointId, layers: weakest.column.layers, isUrgent };
}

/** Finds the endpoint whose move leaves the weaker of the two columns with the most memory; its id. */
function findGiver(
    model: EngineModel,
    weakest: ColumnCover,
    givers: readonly ColumnCover[],
    assigned: ReadonlySet<string>,
): string | undefined {
    let best: PlacementEndpoint | undefined;
    let bestRest = weakest.tokens * leastGain;
    for (const giver of givers) {
        for (const endpoint of giver.replicas) {
            const given = getTokens(model, weakest.column, endpoint);
            const left = giver.tokens - getTokens(model, giver.column, endpoint);
            const rest = Math.min(left, weakest.tokens + given);
            const isFree = !endpoint.isBusy && !assigned.has(endpoint.id) && giver.replicas.length > 1;
            if (isFree && given >= getLeastTokens(model) && rest > bestRest) {
                bestRest = rest;
                best = endpoint;
            }
        }
    }
    return best?.id;
}
