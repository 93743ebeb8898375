import { estimateAnswer } from "../../request/relay/estimateAnswer.ts";
import { estimatePrefill } from "../../request/relay/estimatePrefill.ts";
import { getMeanContext } from "../../request/relay/getMeanContext.ts";
import { getRequestMemory } from "../../request/relay/getRequestMemory.ts";
import { getTransferTime } from "../../request/relay/getTransferTime.ts";
import type { StageWork } from "../../request/relay/stageWork.ts";
import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { KindCount } from "./kindCount.ts";
import type { LayerColumn } from "./layerColumn.ts";

/** Columns of one kind: how many there are, and how many layers each holds. */
interface KindShare {
    kind: AcceleratorKind;
    columns: number;
    layers: number;
    /** Endpoints of the kind. */
    count: number;
    /** The same by data centre. */
    counts: ReadonlyMap<string, number>;
}

/** What all shares that one plan looks at have in common. */
interface Fleet {
    /** Number of data centres that have endpoints. */
    dataCentres: number;
    /** Part of the requests that could stay in one data centre each, by the names of the kinds in use; filled as it is asked for. */
    localParts: Map<string, number>;
}

/**
 * Requests differ in size about as much as they are large on average, so that the memory needed by n of them varies by
 * the square root of n requests; so many times that is kept free.
 */
const spreadsKeptFree = 1.5;
/** Part of an engine's time that prompts may take; beyond it the answers being written wait too long. */
const busyPart = 0.5;
/** A column loses one of its replicas at a time and must bear it; one without a spare counts this little. */
const withoutSpare = 0.35;
/**
 * The loss of one replica breaks into the answers of all requests that pass through it. That it strikes a quarter of the
 * requests and not a half is worth this power of e in rate for each unit, here about a factor of two.
 */
const lossWeight = 2.8;
/** More columns of one kind than this only add crossings. */
const mostColumnsOfKind = 6;
/** Endpoints are planned to be in use for two thirds, so that a data centre can take more than its part. */
const sparePart = 1.5;

/**
 * Plans ranges of layers so that all endpoints of a kind hold ranges of about one size, and every range has replicas.
 * Searches the number of columns and of layers for each kind, for the most requests a second that memory, time and the
 * loss of one replica allow: requests in progress are their rate times their duration, and a long chain of slow stages
 * keeps them longer in memory. There are tens of thousands of them, so that the search may be paused after each.
 * @param model - Figures of the model.
 * @param kinds - Endpoints by kind.
 * @returns Columns that tile all layers in order; empty where the weights fit nowhere.
 */
export function* searchColumns(model: EngineModel, kinds: readonly KindCount[]): Generator<void, LayerColumn[]> {
    const available = kinds.filter(({ counts }) => sum(counts.values()) > 0);
    available.sort((left, right) => left.kind.stepFactor - right.kind.stepFactor);
    // Tens of thousands of shares are looked at, so what they have in common is found once.
    const fleet: Fleet = { dataCentres: countDataCentres(available), localParts: new Map() };
    let best: KindShare[] = [];
    let bestRate = 0;
    for (const shares of enumerateShares(model, available, 0, model.layers)) {
        const rate = getSustainedRate(model, fleet, shares) * Math.exp(-lossWeight * getWorstLoss(shares));
        if (rate > bestRate) {
            bestRate = rate;
            best = shares;
        }
        yield;
    }
    return layOut(model, best);
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

/** Lists the shares of one kind. A kind that comes last holds all that is left, with ranges of nearly one size. */
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
    const mostLayers = Math.min(layersLeft, Math.floor(kind.memoryMegabytes / model.layerMegabytes));
    for (let columns = 1; columns <= Math.min(count, mostColumnsOfKind); columns++) {
        if (isLast) {
            if (Math.ceil(layersLeft / columns) <= mostLayers && layersLeft >= columns) {
                yield { kind, columns, layers: layersLeft / columns, count, counts };
            }
            continue;
        }
        for (let layers = 1; layers <= mostLayers && layers * columns <= layersLeft; layers++) {
            yield { kind, columns, layers, count, counts };
        }
    }
}

/** Gets the part of all requests that pass through one replica, at the column with the fewest. */
function getWorstLoss(shares: readonly KindShare[]): number {
    let worst = 0;
    for (const { columns, count } of shares) {
        if (columns > 0) {
            worst = Math.max(worst, 1 / Math.floor(count / columns));
        }
    }
    return worst;
}

/** Gets the most requests a second that the shares sustain. */
function getSustainedRate(model: EngineModel, fleet: Fleet, shares: readonly KindShare[]): number {
    const usualTokens = getMeanContext(model);
    let inProgress = Infinity;
    let rateByTime = Infinity;
    for (const share of shares) {
        if (share.columns === 0) {
            continue;
        }
        const replicas = Math.floor(share.count / share.columns);
        const effective = replicas > 1 ? replicas - 1 : withoutSpare;
        const memory = getRequestMemory(model, share.kind, Math.ceil(share.layers));
        const inMemory = memory / (usualTokens * share.layers);
        const usable = Math.max(0, inMemory - spreadsKeptFree * Math.sqrt(inMemory));
        inProgress = Math.min(inProgress, effective * Math.min(usable, model.slots));
        const work = createWork(share, 0);
        const prefill = estimatePrefill(model, work, model.usualPromptTokens);
        rateByTime = Math.min(rateByTime, effective * busyPart / prefill);
    }
    if (inProgress === Infinity) {
        return 0;
    }
    const crossings = getCrossings(fleet, shares);
    const transfer = getTransferTime(model, model.usualPromptTokens + model.usualAnswerTokens);
    const rateByPipes = crossings === 0 ? Infinity : busyPart / (crossings * transfer);
    const crossing = transfer / busyPart + model.usualAnswerTokens * model.crossingMilliseconds;
    const duration = getDuration(model, shares, inProgress) + crossings * crossing;
    return Math.min(inProgress / duration, rateByTime, rateByPipes);
}

/**
 * Estimates how often a chain crosses between data centres. Between columns of one kind it must where a column has
 * fewer replicas than there are data centres; between two kinds as far as no data centre has enough of both.
 */
function getCrossings(fleet: Fleet, shares: readonly KindShare[]): number {
    const used = shares.filter(({ columns }) => columns > 0);
    const { dataCentres } = fleet;
    const away = 1 - Math.min(1, sparePart * getLocalPart(fleet, used));
    let crossings = (used.length - 1) * away;
    for (const { count, columns } of used) {
        crossings += (columns - 1) * Math.max(0, 1 - Math.floor(count / columns) / dataCentres);
    }
    return crossings;
}

/** Gets the part of all requests that could stay in one data centre each if every endpoint were in full use. */
function getLocalPart({ localParts }: Fleet, used: readonly KindShare[]): number {
    const names = used.map(({ kind }) => kind.name).join();
    const known = localParts.get(names);
    if (known !== undefined) {
        return known;
    }
    let part = 0;
    for (const dataCentre of new Set(used.flatMap(({ counts }) => [...counts.keys()]))) {
        part += Math.min(...used.map(({ count, counts }) => (counts.get(dataCentre) ?? 0) / count));
    }
    localParts.set(names, part);
    return part;
}

function countDataCentres(kinds: readonly KindCount[]): number {
    return new Set(kinds.flatMap(({ counts }) => [...counts.keys()])).size;
}

/** Gets how long a usual request takes with so many in progress, in milliseconds. */
function getDuration(model: EngineModel, shares: readonly KindShare[], inProgress: number): number {
    let duration = 0;
    for (const share of shares) {
        if (share.columns === 0) {
            continue;
        }
        const replicas = share.count / share.columns;
        const work = createWork(share, inProgress / replicas);
        duration += share.columns * estimateAnswer(model, work, model.usualPromptTokens, model.usualAnswerTokens);
    }
    return duration;
}

function createWork({ kind, layers }: KindShare, requests: number): StageWork {
    return { kind, layers, requests, slowness: 1 };
}

function layOut(model: EngineModel, shares: readonly KindShare[]): LayerColumn[] {
    const columns: LayerColumn[] = [];
    let at = 0;
    for (const share of shares) {
        const first = at;
        for (let index = 1; index <= share.columns; index++) {
            const end = first + Math.round(share.layers * index);
            columns.push({ layers: { start: at, end }, kind: share.kind.name });
            at = end;
        }
    }
    return at === model.layers ? columns : [];
}

function sum(numbers: Iterable<number>): number {
    let total = 0;
    for (const value of numbers) {
        total += value;
    }
    return total;
}
