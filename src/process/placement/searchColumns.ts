import { estimateAnswerTime } from "../../request/relay/chains/estimateAnswerTime.ts";
import { estimatePrefillTime } from "../../request/relay/chains/estimatePrefillTime.ts";
import { getMeanContext } from "../../request/relay/chains/getMeanContext.ts";
import { getRequestMemory } from "../../request/relay/chains/getRequestMemory.ts";
import type { StageWork } from "../../request/relay/chains/stageWork.ts";
import { getTransferTime } from "../../request/relay/links/getTransferTime.ts";
import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { KindCount } from "./kindCount.ts";
import type { LayerColumn } from "./layerColumn.ts";

/** Columns that are sized for one kind of accelerator. */
interface KindShare {
    kind: AcceleratorKind;
    /** Number of columns. */
    columns: number;
    /** Layers per column; not an integer if the columns differ by one layer. */
    layers: number;
    /** Number of endpoints of the kind. */
    count: number;
    /** Number of endpoints of the kind by data centre. */
    counts: ReadonlyMap<string, number>;
}

/** Data shared by all candidates of one search. */
interface SearchContext {
    /** Number of data centres that have endpoints. */
    dataCentres: number;
    /** Cache of the fraction of requests that could stay in one data centre, by the names of the kinds in use. */
    localFractions: Map<string, number>;
}

/**
 * Memory that is kept free, in standard deviations of the memory that requests need. The standard deviation of a
 * request's size is about its mean, so that of n requests is about the square root of n times the mean.
 */
const freeStandardDeviations = 1.5;
/**
 * Highest utilization of an engine by prompts, and of a link by transfers. With more prompts, the generation of answers
 * is delayed too long.
 */
const maximumUtilization = 0.5;
/**
 * Effective number of replicas of a column with a single replica. Other columns count one replica less than they have,
 * since a column must sustain the loss of one replica.
 */
const singleReplicaCapacity = 0.35;
/**
 * Weight of the fraction of requests that pass through one replica, since the loss of the replica interrupts all of
 * their answers. The rate of a candidate is multiplied by exp(-weight * fraction), so affecting a quarter of the
 * requests instead of half is worth about a factor of two.
 */
const lossWeight = 2.8;
/** Most columns of one kind. More columns only add transfers between data centres. */
const maximumColumnsPerKind = 6;
/**
 * Capacity relative to the planned load: a utilization of two thirds lets a data centre take more than its share of
 * requests.
 */
const capacityFactor = 1.5;

/**
 * Plans columns so that all endpoints of a kind hold ranges of about the same size, and every range has replicas.
 *
 * Searches the number of columns and of layers per column for each kind of accelerator, and chooses the candidate with
 * the highest request rate that memory, compute time and the loss of one replica allow. The number of requests in
 * progress is their rate times their duration, so a long chain of slow stages needs more memory. There are tens of
 * thousands of candidates, so the generator yields after each one to let the caller pause the search.
 * @param model - Performance figures of the model.
 * @param kinds - Number of endpoints by kind.
 * @returns Columns that cover all layers in order; empty if the weights fit no combination of endpoints.
 */
export function* searchColumns(model: EngineModel, kinds: readonly KindCount[]): Generator<void, LayerColumn[]> {
    const available = kinds.filter(({ counts }) => sum(counts.values()) > 0);
    available.sort((left, right) => left.kind.stepFactor - right.kind.stepFactor);
    // Computed once, since the search evaluates tens of thousands of candidates.
    const context: SearchContext = { dataCentres: countDataCentres(available), localFractions: new Map() };
    let best: KindShare[] = [];
    let bestRate = 0;
    for (const shares of enumerateShares(model, available, 0, model.layers)) {
        const rate = getSustainedRate(model, context, shares) * Math.exp(-lossWeight * getLargestLossFraction(shares));
        if (rate > bestRate) {
            bestRate = rate;
            best = shares;
        }
        yield;
    }
    return createColumns(model, best);
}

function* enumerateShares(
    model: EngineModel,
    kinds: readonly KindCount[],
    index: number,
    layersLeft: number,
): Generator<KindShare[]> {
    const entry = kinds[index];
    if (entry === undefined) {
        if (layersLeft === 0) {
            yield [];
        }
        return;
    }
    const isLast = index === kinds.length - 1;
    for (const share of enumerateKind(model, entry, layersLeft, isLast)) {
        for (const rest of enumerateShares(model, kinds, index + 1, layersLeft - share.columns * share.layers)) {
            yield [share, ...rest];
        }
    }
}

/**
 * Enumerates the shares of one kind. The last kind holds all remaining layers, in columns that differ by at most one
 * layer.
 */
function* enumerateKind(
    model: EngineModel,
    { kind, counts }: KindCount,
    layersLeft: number,
    isLast: boolean,
): Generator<KindShare> {
    const count = sum(counts.values());
    if (!isLast || layersLeft === 0) {
        yield { kind, columns: 0, layers: 0, count, counts };
    }
    const maximumLayers = Math.min(layersLeft, Math.floor(kind.memoryMegabytes / model.layerMegabytes));
    for (let columns = 1; columns <= Math.min(count, maximumColumnsPerKind); columns++) {
        if (isLast) {
            if (Math.ceil(layersLeft / columns) <= maximumLayers && layersLeft >= columns) {
                yield { kind, columns, layers: layersLeft / columns, count, counts };
            }
            continue;
        }
        for (let layers = 1; layers <= maximumLayers && layers * columns <= layersLeft; layers++) {
            yield { kind, columns, layers, count, counts };
        }
    }
}

/** Gets the highest fraction of requests that pass through one replica: that of the column with the fewest replicas. */
function getLargestLossFraction(shares: readonly KindShare[]): number {
    let largest = 0;
    for (const { columns, count } of shares) {
        if (columns > 0) {
            largest = Math.max(largest, 1 / Math.floor(count / columns));
        }
    }
    return largest;
}

/** Gets the highest rate of requests that the shares sustain, in requests per millisecond. */
function getSustainedRate(model: EngineModel, context: SearchContext, shares: readonly KindShare[]): number {
    const typicalTokens = getMeanContext(model);
    let inProgress = Infinity;
    let rateByTime = Infinity;
    for (const share of shares) {
        if (share.columns === 0) {
            continue;
        }
        const replicas = Math.floor(share.count / share.columns);
        const effectiveReplicas = replicas > 1 ? replicas - 1 : singleReplicaCapacity;
        const memory = getRequestMemory(model, share.kind, Math.ceil(share.layers));
        const requestsInMemory = memory / (typicalTokens * share.layers);
        const usableRequests = Math.max(0, requestsInMemory - freeStandardDeviations * Math.sqrt(requestsInMemory));
        inProgress = Math.min(inProgress, effectiveReplicas * Math.min(usableRequests, model.slots));
        const work = createWork(share, 0);
        const prefill = estimatePrefillTime(model, work, model.typicalPromptTokens);
        rateByTime = Math.min(rateByTime, effectiveReplicas * maximumUtilization / prefill);
    }
    if (inProgress === Infinity) {
        return 0;
    }
    const linkCount = estimateLinkCount(context, shares);
    const transfer = getTransferTime(model, model.typicalPromptTokens + model.typicalAnswerTokens);
    const rateByBandwidth = linkCount === 0 ? Infinity : maximumUtilization / (linkCount * transfer);
    const linkDuration = transfer / maximumUtilization + model.typicalAnswerTokens * model.linkDelayMilliseconds;
    const duration = getDuration(model, shares, inProgress) + linkCount * linkDuration;
    return Math.min(inProgress / duration, rateByTime, rateByBandwidth);
}

/**
 * Estimates how many links between data centres a chain uses. Between columns of one kind it uses one if a column has
 * fewer replicas than there are data centres; between kinds, to the extent that data centres lack endpoints of one of
 * them.
 */
function estimateLinkCount(context: SearchContext, shares: readonly KindShare[]): number {
    const used = shares.filter(({ columns }) => columns > 0);
    const { dataCentres } = context;
    const remoteFraction = 1 - Math.min(1, capacityFactor * getLocalFraction(context, used));
    let linkCount = (used.length - 1) * remoteFraction;
    for (const { count, columns } of used) {
        linkCount += (columns - 1) * Math.max(0, 1 - Math.floor(count / columns) / dataCentres);
    }
    return linkCount;
}

/** Gets the fraction of requests that could stay in one data centre if all endpoints were fully used. */
function getLocalFraction({ localFractions }: SearchContext, used: readonly KindShare[]): number {
    const names = used.map(({ kind }) => kind.name).join();
    const cached = localFractions.get(names);
    if (cached !== undefined) {
        return cached;
    }
    let fraction = 0;
    for (const dataCentre of new Set(used.flatMap(({ counts }) => [...counts.keys()]))) {
        fraction += Math.min(...used.map(({ count, counts }) => (counts.get(dataCentre) ?? 0) / count));
    }
    localFractions.set(names, fraction);
    return fraction;
}

function countDataCentres(kinds: readonly KindCount[]): number {
    return new Set(kinds.flatMap(({ counts }) => [...counts.keys()])).size;
}

/** Gets the duration of a usual request in milliseconds, for a number of requests in progress. */
function getDuration(model: EngineModel, shares: readonly KindShare[], inProgress: number): number {
    let duration = 0;
    for (const share of shares) {
        if (share.columns === 0) {
            continue;
        }
        const replicas = share.count / share.columns;
        const work = createWork(share, inProgress / replicas);
        duration += share.columns
            * estimateAnswerTime(model, work, model.typicalPromptTokens, model.typicalAnswerTokens);
    }
    return duration;
}

function createWork({ kind, layers }: KindShare, requests: number): StageWork {
    return { kind, layers, requests, slowness: 1 };
}

function createColumns(model: EngineModel, shares: readonly KindShare[]): LayerColumn[] {
    const columns: LayerColumn[] = [];
    let nextLayer = 0;
    for (const share of shares) {
        const firstLayer = nextLayer;
        for (let index = 1; index <= share.columns; index++) {
            const end = firstLayer + Math.round(share.layers * index);
            columns.push({ layers: { start: nextLayer, end }, kind: share.kind.name });
            nextLayer = end;
        }
    }
    return nextLayer === model.layers ? columns : [];
}

function sum(numbers: Iterable<number>): number {
    let total = 0;
    for (const value of numbers) {
        total += value;
    }
    return total;
}
