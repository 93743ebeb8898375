import { getRequestMemory } from "../../request/relay/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import { isSameRange } from "./isSameRange.ts";
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
    /** Parts of the column for endpoints that can't hold the whole of it, by the number of parts. */
    parts: Map<number, PartCover[]>;
}

/** A part of a column, and who holds just that. */
interface PartCover {
    layers: HeldLayers;
    replicas: PlacementEndpoint[];
}

/** What an empty endpoint could hold: a whole column or a part of one. */
interface LayerChoice {
    layers: HeldLayers;
    replicas: PlacementEndpoint[];
    /** The lower, the more it is needed; compared from the first number on. */
    ranks: number[];
}

/** A chain of more stages than this in place of one is slower than to wait for the whole column's return. */
const mostParts = 3;
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
    const covers = columns.map(column => createCover(column));
    const free: PlacementEndpoint[] = [];
    for (const endpoint of endpoints) {
        const cover = covers.find(({ column }) => isSameRange(endpoint.layers, column.layers));
        const part = cover === undefined ? findPart(covers, endpoint.layers) : undefined;
        if (cover !== undefined) {
            addReplica(model, cover, endpoint);
        }
        else if (part !== undefined) {
            part.replicas.push(endpoint);
        }
        else {
            free.push(endpoint);
        }
    }
    const assignments: LayerAssignment[] = [];
    // Those with the least choice first: what fits into little memory is left to them.
    free.sort((left, right) => getMemory(model, left) - getMemory(model, right));
    for (const endpoint of free.filter(({ isBusy }) => !isBusy)) {
        const layers = takeColumn(model, covers, endpoint) ?? takePart(model, covers, endpoint);
        if (layers !== undefined) {
            assignments.push({ endpointId: endpoint.id, layers });
        }
    }
    const assigned = new Set(assignments.map(({ endpointId }) => endpointId));
    return { assignments, move: findLocalMove(model, covers, assigned) ?? findMove(model, covers, assigned) };
}

/** Creates the cover of a column that nobody holds, cut in all the ways in which it may be held by parts. */
function createCover(column: LayerColumn): ColumnCover {
    const parts = new Map<number, PartCover[]>();
    for (let count = 2; count <= mostParts; count++) {
        parts.set(count, cutColumn(column.layers, count).map(layers => ({ layers, replicas: [] })));
    }
    return { column, replicas: [], tokens: 0, parts };
}

function cutColumn({ start, end }: HeldLayers, count: number): HeldLayers[] {
    const size = (end - start) / count;
    return Array.from({ length: count }, (_, index) => ({
        start: start + Math.round(index * size),
        end: start + Math.round((index + 1) * size),
    }));
}

function findPart(covers: readonly ColumnCover[], layers: HeldLayers | undefined): PartCover | undefined {
    for (const { parts } of covers) {
        for (const cut of parts.values()) {
            const part = cut.find(candidate => isSameRange(layers, candidate.layers));
            if (part !== undefined) {
                return part;
            }
        }
    }
    return undefined;
}

function addReplica(model: EngineModel, cover: ColumnCover, endpoint: PlacementEndpoint): void {
    cover.replicas.push(endpoint);
    cover.tokens += getTokens(model, cover.column.layers, endpoint);
}

function getMemory(model: EngineModel, endpoint: PlacementEndpoint): number {
    return model.kinds.get(endpoint.kind)?.memoryMegabytes ?? 0;
}

/** Gets the tokens of requests that an endpoint has room for beside the weights of layers; 0 where these don't fit. */
function getTokens(model: EngineModel, layers: HeldLayers, endpoint: PlacementEndpoint): number {
    const kind = model.kinds.get(endpoint.kind);
    const count = layers.end - layers.start;
    return kind === undefined ? 0 : getRequestMemory(model, kind, count) / count;
}

/**
 * Takes the column for an empty endpoint: one that nobody holds, or else, of those of its kind, one that its data centre lacks.
 * A data centre without some column makes each of its chains cross to another one, and all crossings share the pipes, which are full
 * as soon as endpoints are lost.
 */
function takeColumn(
    model: EngineModel,
    covers: readonly ColumnCover[],
    endpoint: PlacementEndpoint,
): HeldLayers | undefined {
    const fitting = covers.filter(({ column }) => isUseful(model, column.layers, endpoint));
    const ofKind = fitting.filter(({ column }) => column.kind === endpoint.kind);
    const choices = (ofKind.length > 0 ? ofKind : fitting).map(cover => ({
        cover,
        layers: cover.column.layers,
        replicas: cover.replicas,
        ranks: [cover.replicas.length === 0 ? 0 : 1, countNearby(cover, endpoint), cover.replicas.length],
    }));
    const chosen = chooseNeeded(choices);
    if (chosen !== undefined) {
        addReplica(model, chosen.cover, endpoint);
    }
    return chosen?.layers;
}

/**
 * Takes a part of a column for an endpoint that can hold no whole one. Several of these in a data centre are a replica of the
 * column there; empty they would serve nobody, also while a lost replica is loaded anew for seconds.
 */
function takePart(
    model: EngineModel,
    covers: readonly ColumnCover[],
    endpoint: PlacementEndpoint,
): HeldLayers | undefined {
    const choices: LayerChoice[] = [];
    for (const cover of covers) {
        const cut = [...cover.parts.values()].find(parts =>
            parts.every(({ layers }) => isUseful(model, layers, endpoint))
        );
        if (cut === undefined) {
            continue;
        }
        const begun = cut.filter(part => countNearby(part, endpoint) > 0).length;
        for (const { layers, replicas } of cut) {
            const nearby = countNearby(cover, endpoint) + countNearby({ replicas }, endpoint);
            const all = cover.replicas.length + replicas.length;
            choices.push({ layers, replicas, ranks: [nearby, -begun, cut.length, all] });
        }
    }
    const chosen = chooseNeeded(choices);
    chosen?.replicas.push(endpoint);
    return chosen?.layers;
}

function countNearby({ replicas }: Pick<ColumnCover, "replicas">, { dataCentre }: PlacementEndpoint): number {
    return replicas.filter(replica => replica.dataCentre === dataCentre).length;
}

/** Gets the choice with the lowest ranks; the first of several. */
function chooseNeeded<Choice extends LayerChoice>(choices: readonly Choice[]): Choice | undefined {
    let best: Choice | undefined;
    for (const choice of choices) {
        if (best === undefined || compareRanks(choice.ranks, best.ranks) < 0) {
            best = choice;
        }
    }
    return best;
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
    for (const [index, rank] of left.entries()) {
        const difference = rank - right[index]!;
        if (difference !== 0) {
            return difference;
        }
    }
    return 0;
}

function isUseful(model: EngineModel, layers: HeldLayers, endpoint: PlacementEndpoint): boolean {
    return getTokens(model, layers, endpoint) >= getLeastTokens(model);
}

/** An endpoint without room for some usual requests is of no use. */
function getLeastTokens(model: EngineModel): number {
    const usefulRequests = 8;
    return usefulRequests * (model.usualPromptTokens + model.usualAnswerTokens);
}

/**
 * Finds an endpoint that should leave a column that its data centre holds more than once for one that it lacks, so that chains
 * need not leave the data centre. Undefined while nobody at all holds some column, which goes first.
 */
function findLocalMove(
    model: EngineModel,
    covers: readonly ColumnCover[],
    assigned: ReadonlySet<string>,
): LayerMove | undefined {
    if (covers.some(({ replicas }) => replicas.length === 0)) {
        return undefined;
    }
    for (const giver of covers) {
        for (const endpoint of giver.replicas) {
            const isFree = !endpoint.isBusy && !assigned.has(endpoint.id) && countNearby(giver, endpoint) > 1;
            const lacking = isFree
                ? covers.find(cover =>
                    cover.column.kind === giver.column.kind
                    && countNearby(cover, endpoint) === 0
                    && isUseful(model, cover.column.layers, endpoint)
                )
                : undefined;
            if (lacking !== undefined) {
                return { endpointId: endpoint.id, layers: lacking.column.layers, isUrgent: false };
            }
        }
    }
    return undefined;
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
            const given = getTokens(model, weakest.column.layers, endpoint);
            const left = giver.tokens - getTokens(model, giver.column.layers, endpoint);
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
