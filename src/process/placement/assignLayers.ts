import { getRequestMemory } from "../../request/relay/chains/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import { isSameRange } from "./isSameRange.ts";
import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerColumn } from "./layerColumn.ts";
import type { LayerMove } from "./layerMove.ts";
import { MovePurpose } from "./movePurpose.ts";
import type { PlacementEndpoint } from "./placementEndpoint.ts";

/** Orders that should be given. */
interface LayerDecisions {
    /** Assignments for endpoints that hold neither a column nor a part of one. */
    assignments: LayerAssignment[];
    /** Moves of endpoints that already hold a column. */
    moves: LayerMove[];
}

/** The endpoints that hold a column or parts of it. */
interface ColumnCoverage {
    column: LayerColumn;
    replicas: PlacementEndpoint[];
    /** Total memory of the replicas for requests, in tokens. */
    tokens: number;
    /** Parts of the column for endpoints that can't hold all of it, by the number of parts that it is split into. */
    parts: Map<number, PartCoverage[]>;
}

/** A part of a column, and the endpoints that hold exactly this part. */
interface PartCoverage {
    layers: HeldLayers;
    replicas: PlacementEndpoint[];
}

/** A column, or a part of one, that an empty endpoint could hold. */
interface LayerChoice {
    layers: HeldLayers;
    replicas: PlacementEndpoint[];
    /** Ranks, compared in order as long as they are equal. Lower ranks are preferred. */
    ranks: number[];
}

/**
 * Most parts that a column is split into. A chain with more stages in place of one is slower than waiting for a replica
 * to recover.
 */
const maximumPartsPerColumn = 3;
/** A move must leave both columns with at least this many times the memory that the weakest column had before. */
const minimumMemoryGain = 1.2;

/**
 * Assigns columns to empty endpoints, and decides whether an endpoint should move to a column that has too few
 * replicas. Other endpoints keep their column, since a load takes seconds.
 * @param model - Performance figures of the model.
 * @param columns - Columns of the plan.
 * @param endpoints - Endpoints that are not draining, with the layers that they hold.
 */
export function assignLayers(
    model: EngineModel,
    columns: readonly LayerColumn[],
    endpoints: readonly PlacementEndpoint[],
): LayerDecisions {
    const coverages = columns.map(column => createCoverage(column));
    const free: PlacementEndpoint[] = [];
    for (const endpoint of endpoints) {
        const coverage = coverages.find(({ column }) => isSameRange(endpoint.layers, column.layers));
        const part = coverage === undefined ? findPart(coverages, endpoint.layers) : undefined;
        if (coverage !== undefined) {
            addReplica(model, coverage, endpoint);
        }
        else if (part !== undefined) {
            part.replicas.push(endpoint);
        }
        else {
            free.push(endpoint);
        }
    }
    const assignments: LayerAssignment[] = [];
    // Endpoints with the least memory choose first, since fewer columns fit them.
    free.sort((left, right) => getMemory(model, left) - getMemory(model, right));
    for (const endpoint of free.filter(({ isBusy }) => !isBusy)) {
        const layers = assignColumn(model, coverages, endpoint) ?? assignPart(model, coverages, endpoint);
        if (layers !== undefined) {
            assignments.push({ endpointId: endpoint.id, layers });
        }
    }
    const assigned = new Set(assignments.map(({ endpointId }) => endpointId));
    const move = findLocalMove(model, coverages, assigned) ?? findMove(model, coverages, assigned);
    return { assignments, moves: move === undefined ? [] : [move] };
}

/** Creates the coverage of a column without replicas, with each way to split the column into parts. */
function createCoverage(column: LayerColumn): ColumnCoverage {
    const parts = new Map<number, PartCoverage[]>();
    for (let count = 2; count <= maximumPartsPerColumn; count++) {
        parts.set(count, splitColumn(column.layers, count).map(layers => ({ layers, replicas: [] })));
    }
    return { column, replicas: [], tokens: 0, parts };
}

function splitColumn({ start, end }: HeldLayers, count: number): HeldLayers[] {
    const size = (end - start) / count;
    return Array.from({ length: count }, (_, index) => ({
        start: start + Math.round(index * size),
        end: start + Math.round((index + 1) * size),
    }));
}

function findPart(coverages: readonly ColumnCoverage[], layers: HeldLayers | undefined): PartCoverage | undefined {
    for (const { parts } of coverages) {
        for (const partition of parts.values()) {
            const part = partition.find(candidate => isSameRange(layers, candidate.layers));
            if (part !== undefined) {
                return part;
            }
        }
    }
    return undefined;
}

function addReplica(model: EngineModel, coverage: ColumnCoverage, endpoint: PlacementEndpoint): void {
    coverage.replicas.push(endpoint);
    coverage.tokens += getRequestTokens(model, coverage.column.layers, endpoint);
}

function getMemory(model: EngineModel, endpoint: PlacementEndpoint): number {
    return model.kinds.get(endpoint.kind)?.memoryMegabytes ?? 0;
}

/**
 * Gets the number of request tokens that fit in an endpoint's memory in addition to the weights of layers; 0 if the
 * weights do not fit.
 */
function getRequestTokens(model: EngineModel, layers: HeldLayers, endpoint: PlacementEndpoint): number {
    const kind = model.kinds.get(endpoint.kind);
    const count = layers.end - layers.start;
    return kind === undefined ? 0 : getRequestMemory(model, kind, count) / count;
}

/**
 * Assigns a column to an empty endpoint, preferring columns that were sized for its kind. Among these, a column without
 * replicas comes first, then the one with the fewest replicas in the endpoint's data centre. If a data centre lacks a
 * column, each of its chains uses a link to another data centre, and the links between data centres, which all chains
 * share, are saturated as soon as endpoints are lost.
 */
function assignColumn(
    model: EngineModel,
    coverages: readonly ColumnCoverage[],
    endpoint: PlacementEndpoint,
): HeldLayers | undefined {
    const fitting = coverages.filter(({ column }) => isUseful(model, column.layers, endpoint));
    const ofKind = fitting.filter(({ column }) => column.kind === endpoint.kind);
    const choices = (ofKind.length > 0 ? ofKind : fitting).map(coverage => ({
        coverage,
        layers: coverage.column.layers,
        replicas: coverage.replicas,
        ranks: [coverage.replicas.length === 0 ? 0 : 1, countNearby(coverage, endpoint), coverage.replicas.length],
    }));
    const chosen = chooseLowestRanked(choices);
    if (chosen !== undefined) {
        addReplica(model, chosen.coverage, endpoint);
    }
    return chosen?.layers;
}

/**
 * Assigns a part of a column to an endpoint that can't hold any column completely. Several such endpoints in a data
 * centre form a replica of the column. They also serve requests during the seconds in which a lost replica is loaded
 * again.
 */
function assignPart(
    model: EngineModel,
    coverages: readonly ColumnCoverage[],
    endpoint: PlacementEndpoint,
): HeldLayers | undefined {
    const choices: LayerChoice[] = [];
    for (const coverage of coverages) {
        const partition = [...coverage.parts.values()].find(parts =>
            parts.every(({ layers }) => isUseful(model, layers, endpoint))
        );
        if (partition === undefined) {
            continue;
        }
        const heldPartCount = partition.filter(part => countNearby(part, endpoint) > 0).length;
        for (const { layers, replicas } of partition) {
            const nearbyCount = countNearby(coverage, endpoint) + countNearby({ replicas }, endpoint);
            const replicaCount = coverage.replicas.length + replicas.length;
            choices.push({ layers, replicas, ranks: [nearbyCount, -heldPartCount, partition.length, replicaCount] });
        }
    }
    const chosen = chooseLowestRanked(choices);
    chosen?.replicas.push(endpoint);
    return chosen?.layers;
}

function countNearby({ replicas }: Pick<ColumnCoverage, "replicas">, { dataCentre }: PlacementEndpoint): number {
    return replicas.filter(replica => replica.dataCentre === dataCentre).length;
}

/** Gets the choice with the lowest ranks; the first one if several are equal. */
function chooseLowestRanked<Choice extends LayerChoice>(choices: readonly Choice[]): Choice | undefined {
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
    return getRequestTokens(model, layers, endpoint) >= getMinimumTokens(model);
}

/**
 * Gets the least request memory with which an endpoint is useful, in tokens: enough for a few requests of usual size.
 */
function getMinimumTokens(model: EngineModel): number {
    const usefulRequests = 8;
    return usefulRequests * (model.typicalPromptTokens + model.typicalAnswerTokens);
}

/**
 * Finds an endpoint to move from a column with several replicas in its data centre to a column with none there, so that
 * chains need not leave the data centre. Undefined while any column has no replica at all, since that column takes
 * precedence.
 */
function findLocalMove(
    model: EngineModel,
    coverages: readonly ColumnCoverage[],
    assigned: ReadonlySet<string>,
): LayerMove | undefined {
    if (coverages.some(({ replicas }) => replicas.length === 0)) {
        return undefined;
    }
    for (const source of coverages) {
        for (const endpoint of source.replicas) {
            const isFree = !endpoint.isBusy && !assigned.has(endpoint.id) && countNearby(source, endpoint) > 1;
            const target = isFree
                ? coverages.find(coverage =>
                    coverage.column.kind === source.column.kind
                    && countNearby(coverage, endpoint) === 0
                    && isUseful(model, coverage.column.layers, endpoint)
                )
                : undefined;
            if (target !== undefined) {
                return {
                    endpointId: endpoint.id,
                    layers: target.column.layers,
                    purpose: MovePurpose.DataCentreLacks,
                };
            }
        }
    }
    return undefined;
}

/**
 * Finds an endpoint to move from another column to the column with the least memory. Only one endpoint moves at a time,
 * since it can't serve during the load.
 */
function findMove(
    model: EngineModel,
    coverages: readonly ColumnCoverage[],
    assigned: ReadonlySet<string>,
): LayerMove | undefined {
    const [weakest, ...others] = coverages.toSorted((left, right) => left.tokens - right.tokens);
    if (weakest === undefined) {
        return undefined;
    }
    // An endpoint of another kind changes the column's speed from the plan, and its own column loses a planned replica.
    const sources = others.filter(({ column }) => column.kind === weakest.column.kind);
    const endpointId = findEndpointToMove(model, weakest, sources, assigned)
        ?? findEndpointToMove(model, weakest, others, assigned);
    const purpose = weakest.replicas.length === 0 ? MovePurpose.FleetLacks : MovePurpose.Balance;
    return endpointId === undefined ? undefined : { endpointId, layers: weakest.column.layers, purpose };
}

/** Gets the id of the endpoint whose move leaves the weaker of the two columns with the most memory. */
function findEndpointToMove(
    model: EngineModel,
    weakest: ColumnCoverage,
    sources: readonly ColumnCoverage[],
    assigned: ReadonlySet<string>,
): string | undefined {
    let best: PlacementEndpoint | undefined;
    let bestRemaining = weakest.tokens * minimumMemoryGain;
    for (const source of sources) {
        for (const endpoint of source.replicas) {
            const gained = getRequestTokens(model, weakest.column.layers, endpoint);
            const left = source.tokens - getRequestTokens(model, source.column.layers, endpoint);
            const remaining = Math.min(left, weakest.tokens + gained);
            const isFree = !endpoint.isBusy && !assigned.has(endpoint.id) && source.replicas.length > 1;
            if (isFree && gained >= getMinimumTokens(model) && remaining > bestRemaining) {
                bestRemaining = remaining;
                best = endpoint;
            }
        }
    }
    return best?.id;
}
