import type { RandomSource } from "../../../process/randomSource.ts";
import { getTransferTime } from "../links/getTransferTime.ts";
import { coversAllLayers } from "./coversAllLayers.ts";
import { estimateAnswerTime } from "./estimateAnswerTime.ts";
import type { RelayStage } from "./relayStage.ts";
import type { StageCandidate } from "./stageCandidate.ts";
import type { StageQuery } from "./stageQuery.ts";

/** Chain of stages that covers the layers up to a given one. */
interface PartialChain {
    cost: number;
    candidate: StageCandidate | undefined;
    start: number;
    previous: PartialChain | undefined;
}

/** Maximum random increase of a chain's cost, as a fraction, so that nodes don't all choose the same chain. */
const maximumNoiseFraction = 0.08;
/** The cost of an endpoint rises above this fraction of used memory or slots, so that requests go elsewhere before it is full. */
const usePenaltyThreshold = 0.55;
const usePenaltyFactor = 6;
/**
 * Cost of a stage without enough memory or slots, chosen only as a last resort: its engine would abort requests in mid-stream, or have them
 * wait for others to end.
 */
const exhaustedCostMilliseconds = 100_000;
/**
 * Cost of a first stage in another data centre. The events of the answer then cross the link, which is hardly slower but is
 * charged by the byte. Such a stage is chosen only if the local ones are clearly more loaded.
 */
const remoteFirstStageMilliseconds = 80;
/**
 * Cost of a first stage without an open connection: it takes a handshake and one of the connections that the endpoint accepts
 * from all nodes. Without this cost, the random noise would make every node open connections to all first stages.
 */
const connectMilliseconds = 100;
/** Each token waits behind the prompts of other requests about as long as it travels: its delay counts twice. */
const delaysPerToken = 2;
/** A slow link delays a complete answer about this many times as much as its first event. */
const delaysPerAnswer = 10;
/** Utilization of the links, 0 to 1, above which the estimated delay grows no further. */
const maximumLinkUtilization = 0.9;

/**
 * Chooses the chain with the least estimated time, by dynamic programming over the layers. First searches chains whose stages
 * run all layers that their endpoints hold. If there are none, stages may also run parts of the held layers.
 * @param query - The request.
 * @param candidates - Endpoints that may be used.
 * @param random - Source of the noise that makes nodes choose differently.
 * @returns Stages that run each layer once and in order; undefined if there is no chain.
 */
export function chooseStages(
    query: StageQuery,
    candidates: readonly StageCandidate[],
    random: RandomSource,
): RelayStage[] | undefined {
    // When memory or slots are exhausted, most searches would fail. This check is much cheaper than a search.
    const usable = query.mayOvercommit
        ? candidates
        : candidates.filter(candidate =>
            hasFreeMemory(query, candidate, candidate.layers.end - candidate.layers.start)
        );
    const hasFirst = usable.some(candidate => candidate.layers.start === 0 && hasFreeSlot(query, candidate));
    if (!hasFirst || !coversAllLayers(usable.map(({ layers }) => layers), query.model.layers)) {
        return undefined;
    }
    return searchChain(query, candidates, random, false) ?? searchChain(query, candidates, random, true);
}

function searchChain(
    query: StageQuery,
    candidates: readonly StageCandidate[],
    random: RandomSource,
    mayUsePartialRanges: boolean,
): RelayStage[] | undefined {
    const { model } = query;
    const ends = getEnds(candidates);
    const emptyChain: PartialChain = { cost: 0, candidate: undefined, start: 0, previous: undefined };
    const chainsByEnd = new Map<number, Map<string, PartialChain>>([[0, new Map([[query.dataCentre, emptyChain]])]]);
    for (const layer of [0, ...ends]) {
        const chains = chainsByEnd.get(layer);
        if (chains === undefined || layer >= model.layers) {
            continue;
        }
        for (const candidate of candidates) {
            const { start, end } = candidate.layers;
            if (layer === 0 && !(mayBeFirst(query, candidate) && hasFreeSlot(query, candidate))) {
                continue;
            }
            if (!query.mayOvercommit && !hasFreeMemory(query, candidate, end - start)) {
                continue;
            }
            if (mayUsePartialRanges ? start > layer || end <= layer : start !== layer) {
                continue;
            }
            const chain = extendChain(query, chains, candidate, layer);
            if (chain === undefined) {
                continue;
            }
            chain.cost *= 1 + maximumNoiseFraction * random();
            for (const stageEnd of getPossibleEnds(query, candidate, layer, ends, mayUsePartialRanges)) {
                keepCheapest(
                    chainsByEnd,
                    stageEnd,
                    candidate.endpoint.dataCentre,
                    addStageCost(query, chain, candidate, layer, stageEnd),
                );
            }
        }
    }
    return toStages(findCheapest(chainsByEnd.get(model.layers)), model.layers);
}

function mayBeFirst({ firstStage, mayBeFirst }: StageQuery, { endpoint: { id } }: StageCandidate): boolean {
    return firstStage === undefined ? mayBeFirst?.(id) ?? true : id === firstStage.endpoint.id;
}

/** Checks if a first stage may run the request at once, unless it runs it already. */
function hasFreeSlot(query: StageQuery, { freeSlots, endpoint: { slots } }: StageCandidate): boolean {
    const isRunning = query.firstStage !== undefined;
    return query.mayOvercommit || isRunning || 1 + Math.floor(query.spareFraction * slots) <= freeSlots;
}

function getEnds(candidates: readonly StageCandidate[]): number[] {
    const ends = new Set<number>();
    for (const { layers } of candidates) {
        ends.add(layers.start);
        ends.add(layers.end);
    }
    ends.delete(0);
    return [...ends].sort((left, right) => left - right);
}

/** Gets the layers at which a stage that starts at `layer` may end. */
function getPossibleEnds(
    { firstStage }: StageQuery,
    { layers }: StageCandidate,
    layer: number,
    ends: readonly number[],
    mayUsePartialRanges: boolean,
): number[] {
    if (layer === 0 && firstStage !== undefined) {
        return [firstStage.end];
    }
    return mayUsePartialRanges ? ends.filter(end => end > layer && end <= layers.end) : [layers.end];
}

/** Extends the cheapest chain that ends at `layer` by a candidate. The cost doesn't include the time of the new stage itself. */
function extendChain(
    query: StageQuery,
    chains: ReadonlyMap<string, PartialChain>,
    candidate: StageCandidate,
    layer: number,
): PartialChain | undefined {
    let best: PartialChain | undefined;
    for (const [dataCentre, previous] of chains) {
        const { dataCentre: to } = candidate.endpoint;
        // Requests to the first stage don't count against this node's share of the link.
        const linkWait = layer === 0 || dataCentre === to ? 0 : query.getLinkWait(dataCentre, to);
        if (linkWait === Infinity || linkWait > 0 && !query.mayOvercommit) {
            continue;
        }
        const linkCost = dataCentre === to ? 0 : getLinkCost(query, layer, dataCentre, to) + linkWait;
        const connectCost = layer === 0 && !query.isConnected(candidate.endpoint.address) ? connectMilliseconds : 0;
        const cost = previous.cost + linkCost + connectCost;
        if (!includesEndpoint(previous, candidate) && (best === undefined || cost < best.cost)) {
            best = { cost, candidate, start: layer, previous };
        }
    }
    return best;
}

function addStageCost(
    query: StageQuery,
    chain: PartialChain,
    candidate: StageCandidate,
    start: number,
    end: number,
): PartialChain {
    return { ...chain, cost: chain.cost + getStageCost(query, candidate, start, end) };
}

/** Gets the cost of a stage: the milliseconds that it adds to a complete answer, increased as the endpoint's memory or slots fill. */
function getStageCost(query: StageQuery, candidate: StageCandidate, start: number, end: number): number {
    const { model, promptTokens, answerTokens } = query;
    const layers = end - start;
    const work = {
        kind: candidate.kind,
        layers,
        requests: candidate.requests + 1,
        slowness: candidate.slowness,
    };
    const time = estimateAnswerTime(model, work, promptTokens, answerTokens);
    const usedMemory = getUsedMemoryFraction(query, candidate, layers);
    const usedFraction = start > 0 ? usedMemory : Math.max(usedMemory, getUsedSlotsFraction(query, candidate));
    if (usedFraction > 1) {
        return time + exhaustedCostMilliseconds * usedFraction;
    }
    const excess = Math.max(0, usedFraction - usePenaltyThreshold) / (1 - usePenaltyThreshold);
    return time * (1 + usePenaltyFactor * excess * excess);
}

/** Gets the fraction of an endpoint's memory that is used once it runs the request. */
function getUsedMemoryFraction(query: StageQuery, candidate: StageCandidate, layers: number): number {
    return (candidate.tokenLayers + getNeededMemory(query, layers)) / Math.max(1, candidate.totalTokenLayers);
}

/** Gets the fraction of a first stage's slots that is used once it runs the request. A request that moves has its slot. */
function getUsedSlotsFraction(query: StageQuery, { requests, endpoint: { slots } }: StageCandidate): number {
    return query.firstStage === undefined ? (requests + 1) / slots : 0;
}

function hasFreeMemory(query: StageQuery, candidate: StageCandidate, layers: number): boolean {
    const reserved = query.spareFraction * candidate.totalTokenLayers;
    return getNeededMemory(query, layers) + reserved <= candidate.freeTokenLayers;
}

/** Gets the memory that the request needs at a stage, in tokens times layers. */
function getNeededMemory({ promptTokens, answerTokens }: StageQuery, layers: number): number {
    return (promptTokens + answerTokens) * layers;
}

/**
 * Gets the time that a link between data centres adds to a complete answer, in milliseconds. It grows with the utilization of the
 * links, since all chains share them.
 */
function getLinkCost(query: StageQuery, layer: number, from: string, to: string): number {
    const { model, promptTokens, answerTokens, linkUtilization } = query;
    if (layer === 0) {
        return remoteFirstStageMilliseconds;
    }
    const transfer = getTransferTime(model, promptTokens + answerTokens);
    const availability = 1 - Math.min(linkUtilization, maximumLinkUtilization);
    const expected = (transfer + delaysPerToken * answerTokens * model.linkDelayMilliseconds) / availability;
    return expected + delaysPerAnswer * query.getLinkDelay(from, to);
}

function includesEndpoint(chain: PartialChain | undefined, candidate: StageCandidate): boolean {
    for (let part = chain; part !== undefined; part = part.previous) {
        if (part.candidate?.endpoint.id === candidate.endpoint.id) {
            return true;
        }
    }
    return false;
}

function keepCheapest(
    chainsByEnd: Map<number, Map<string, PartialChain>>,
    end: number,
    dataCentre: string,
    chain: PartialChain,
): void {
    const chains = chainsByEnd.get(end) ?? new Map<string, PartialChain>();
    chainsByEnd.set(end, chains);
    const known = chains.get(dataCentre);
    if (known === undefined || chain.cost < known.cost) {
        chains.set(dataCentre, chain);
    }
}

function findCheapest(chains: ReadonlyMap<string, PartialChain> | undefined): PartialChain | undefined {
    let best: PartialChain | undefined;
    for (const chain of chains?.values() ?? []) {
        if (best === undefined || chain.cost < best.cost) {
            best = chain;
        }
    }
    return best;
}

function toStages(last: PartialChain | undefined, layers: number): RelayStage[] | undefined {
    if (last === undefined) {
        return undefined;
    }
    const stages: RelayStage[] = [];
    let end = layers;
    for (let part: PartialChain | undefined = last; part?.candidate !== undefined; part = part.previous) {
        stages.unshift({ endpoint: part.candidate.endpoint, start: part.start, end });
        end = part.start;
    }
    return stages;
}
