import { getRequestMemory } from "../../request/relay/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** A range that an endpoint should hold. */
export interface LayerAssignment {
    endpointId: string;
    layers: HeldLayers;
}

/** How well a column is covered. */
interface ColumnCover {
    column: LayerColumn;
    replicas: PlacementEndpoint[];
    /** Memory for requests of all replicas, in tokens. */
    tokens: number;
}

/** A column with less memory than this part of the usual one takes a replica from another, where that one can spare it. */
const weakPart = 0.5;
/** A column gives a replica only if this part of the usual memory is left to it. */
const sparePart = 0.8;

/**
 * Decides which empty endpoint takes which column, and whether one moves to a column that is short of replicas.
 * Endpoints that hold a column keep it otherwise, since a load takes seconds.
 * @param model - Figures of the model.
 * @param columns - Columns of the plan.
 * @param endpoints - Endpoints that stay, with what they hold.
 */
export function assignLayers(
    model: EngineModel,
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
): LayerAssignment[] {
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
    const assignments = new Map<string, LayerAssignment>();
    // Those with the least choice first: what fits into little memory is left to them.
    free.sort((left, right) => getMemory(model, left) - getMemory(model, right));
    for (const endpoint of free) {
        const cover = chooseColumn(model, covers, endpoint);
        if (cover !== undefined) {
            addReplica(model, cover, endpoint);
            assignments.set(endpoint.id, { endpointId: endpoint.id, layers: cover.column.layers });
        }
    }
    const move = findMove(model, covers, assignments);
    if (move !== undefined) {
        assignments.set(move.endpointId, move);
    }
    return [...assignments.values()];
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

function getUsualTokens(covers: readonly ColumnCover[]): number {
    const sorted = covers.map(({ tokens }) => tokens).sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * Finds one endpoint that should leave a well covered column for a weak one; best of all one that is empty still. One at
 * a time, since moves cost service.
 */
function findMove(
    model: EngineModel,
    covers: readonly ColumnCover[],
    assignments: ReadonlyMap<string, LayerAssignment>,
): LayerAssignment | undefined {
    const usual = getUsualTokens(covers);
    let weakest: ColumnCover | undefined;
    for (const cover of covers) {
        const isWeak = cover.replicas.length === 0 || cover.tokens < usual * weakPart;
        if (isWeak && (weakest === undefined || cover.tokens < weakest.tokens)) {
            weakest = cover;
        }
    }
    if (weakest === undefined) {
        return undefined;
    }
    let best: PlacementEndpoint | undefined;
    let mostLeft = weakest.replicas.length === 0 ? 0 : usual * sparePart;
    const emptyBonus = usual;
    for (const giver of covers) {
        for (const endpoint of giver.replicas) {
            const bonus = assignments.has(endpoint.id) ? emptyBonus : 0;
            const left = giver.tokens - getTokens(model, giver.column, endpoint) + bonus;
            const isFit = getTokens(model, weakest.column, endpoint) >= getLeastTokens(model);
            if (giver !== weakest && giver.replicas.length > 1 && isFit && left > mostLeft) {
                mostLeft = left;
                best = endpoint;
            }
        }
    }
    return best === undefined ? undefined : { endpointId: best.id, layers: weakest.column.layers };
}
