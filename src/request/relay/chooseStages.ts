import type { RandomSource } from "../../process/randomSource.ts";
import { estimateAnswer } from "./estimateAnswer.ts";
import { getTransferTime } from "./getTransferTime.ts";
import type { RelayStage } from "./relayStage.ts";
import type { StageCandidate } from "./stageCandidate.ts";
import type { StageQuery } from "./stageQuery.ts";

/** A partial chain that ends at a layer. */
interface PartialChain {
    cost: number;
    candidate: StageCandidate | undefined;
    start: number;
    previous: PartialChain | undefined;
}

/** A chain may cost up to this part more than the best one and be chosen: nodes that decide apart then differ. */
const randomPart = 0.08;
/** Above this part of an endpoint's memory its cost rises, so that requests go elsewhere before it is full. */
const easyMemoryPart = 0.55;
const memorySteepness = 6;
/** Beyond the whole memory the engine gives requests up in mid-stream; such a stage is the last resort. */
const overfullCost = 100_000;
/**
 * A first stage in another data centre makes the answer's events cross, which is paid for by the byte but hardly slower;
 * it is taken only where the near ones have clearly more to do.
 */
const entryCrossingMilliseconds = 80;
/**
 * A first stage without an open connection takes a handshake and a place among the connections that the endpoint accepts from all
 * nodes. Without this the noise alone has each of many nodes open connections to all first stages.
 */
const openingMilliseconds = 100;
/** A token waits behind the prompts of others as long as it travels. */
const delaysOfToken = 2;
/** A slow way adds to a whole answer about so many times what it adds to the first event. */
const delaysOfAnswer = 10;
/** Above this use of the pipes the estimate grows no further. */
const mostPipeUse = 0.9;

/**
 * Chooses the chain with the least estimated time, by dynamic programming over the layers. Chains whose stages use all
 * of what the endpoints hold are looked at first; parts of held ranges only where there is no such chain.
 * @param query - The request.
 * @param candidates - Endpoints that may be used.
 * @param random - Source of the noise that sets nodes apart.
 * @returns Stages that run each layer once and in order; undefined where there are none.
 */
export function chooseStages(
    query: StageQuery,
    candidates: readonly StageCandidate[],
    random: RandomSource,
): RelayStage[] | undefined {
    return searchChain(query, candidates, random, false) ?? searchChain(query, candidates, random, true);
}

function searchChain(
    query: StageQuery,
    candidates: readonly StageCandidate[],
    random: RandomSource,
    mayUseParts: boolean,
): RelayStage[] | undefined {
    const { model, firstStage } = query;
    const ends = getEnds(candidates);
    const begin: PartialChain = { cost: 0, candidate: undefined, start: 0, previous: undefined };
    const chainsByEnd = new Map<number, Map<string, PartialChain>>([[0, new Map([[query.dataCentre, begin]])]]);
    for (const at of [0, ...ends]) {
        const chains = chainsByEnd.get(at);
        if (chains === undefined || at >= model.layers) {
            continue;
        }
        for (const candidate of candidates) {
            const { start, end } = candidate.layers;
            if (at === 0 && firstStage !== undefined && candidate.endpoint.id !== firstStage.endpoint.id) {
                continue;
            }
            if (!query.mayOverfill && !hasRoom(query, candidate, end - start)) {
                continue;
            }
            if (mayUseParts ? start > at || end <= at : start !== at) {
                continue;
            }
            const chain = extendChain(query, chains, candidate, at);
            if (chain === undefined) {
                continue;
            }
            chain.cost *= 1 + randomPart * random();
            for (const stop of getStops(query, candidate, at, ends, mayUseParts)) {
                keepBest(
                    chainsByEnd,
                    stop,
                    candidate.endpoint.dataCentre,
                    scaleChain(query, chain, candidate, at, stop),
                );
            }
        }
    }
    return toStages(getBest(chainsByEnd.get(model.layers)), model.layers);
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

/** Gets the layers at which a stage from `at` on may stop. */
function getStops(
    { firstStage }: StageQuery,
    { layers }: StageCandidate,
    at: number,
    ends: readonly number[],
    mayUseParts: boolean,
): number[] {
    if (at === 0 && firstStage !== undefined) {
        return [firstStage.end];
    }
    return mayUseParts ? ends.filter(end => end > at && end <= layers.end) : [layers.end];
}

/** Gets the cheapest chain that ends at `at` and goes on at a candidate; its cost holds all but the stage itself. */
function extendChain(
    query: StageQuery,
    chains: ReadonlyMap<string, PartialChain>,
    candidate: StageCandidate,
    at: number,
): PartialChain | undefined {
    let best: PartialChain | undefined;
    for (const [dataCentre, previous] of chains) {
        const { dataCentre: to } = candidate.endpoint;
        // A caller's way to the first stage needs no pipe.
        const pipeWait = at === 0 || dataCentre === to ? 0 : query.getPipeWait(dataCentre, to);
        if (pipeWait > 0 && !query.mayOverfill) {
            continue;
        }
        const crossing = dataCentre === to ? 0 : getCrossingCost(query, at, dataCentre, to) + pipeWait;
        const opening = at === 0 && !query.isConnected(candidate.endpoint.address) ? openingMilliseconds : 0;
        const cost = previous.cost + crossing + opening;
        if (!hasEndpoint(previous, candidate) && (best === undefined || cost < best.cost)) {
            best = { cost, candidate, start: at, previous };
        }
    }
    return best;
}

function scaleChain(
    query: StageQuery,
    chain: PartialChain,
    candidate: StageCandidate,
    start: number,
    end: number,
): PartialChain {
    return { ...chain, cost: chain.cost + getStageCost(query, candidate, end - start) };
}

/** Gets the time that a stage adds to a whole answer, in milliseconds, made dearer as its memory fills. */
function getStageCost(query: StageQuery, candidate: StageCandidate, layers: number): number {
    const { model, promptTokens, answerTokens } = query;
    const work = {
        kind: candidate.kind,
        layers,
        requests: candidate.requests + 1,
        slowness: candidate.slowness,
    };
    const time = estimateAnswer(model, work, promptTokens, answerTokens);
    const part = getMemoryPart(query, candidate, layers);
    if (part > 1) {
        return time + overfullCost * part;
    }
    const excess = Math.max(0, part - easyMemoryPart) / (1 - easyMemoryPart);
    return time * (1 + memorySteepness * excess * excess);
}

/** Gets the part of an endpoint's memory that is taken with the request. */
function getMemoryPart(query: StageQuery, candidate: StageCandidate, layers: number): number {
    return (candidate.tokenLayers + getNeededMemory(query, layers)) / Math.max(1, candidate.totalTokenLayers);
}

function hasRoom(query: StageQuery, candidate: StageCandidate, layers: number): boolean {
    const spare = query.sparePart * candidate.totalTokenLayers;
    return getNeededMemory(query, layers) + spare <= candidate.roomTokenLayers;
}

/** Gets the memory that the request needs at a stage, in tokens times layers. */
function getNeededMemory({ promptTokens, answerTokens }: StageQuery, layers: number): number {
    return (promptTokens + answerTokens) * layers;
}

/**
 * Gets the time that a crossing between data centres adds to a whole answer, in milliseconds. All chains share the pipes, so it grows
 * with their use.
 */
function getCrossingCost(query: StageQuery, at: number, from: string, to: string): number {
    const { model, promptTokens, answerTokens, pipeUse } = query;
    if (at === 0) {
        return entryCrossingMilliseconds;
    }
    const transfer = getTransferTime(model, promptTokens + answerTokens);
    const waiting = 1 - Math.min(pipeUse, mostPipeUse);
    const usual = (transfer + delaysOfToken * answerTokens * model.crossingMilliseconds) / waiting;
    return usual + delaysOfAnswer * query.getCrossingDelay(from, to);
}

function hasEndpoint(chain: PartialChain | undefined, candidate: StageCandidate): boolean {
    for (let part = chain; part !== undefined; part = part.previous) {
        if (part.candidate?.endpoint.id === candidate.endpoint.id) {
            return true;
        }
    }
    return false;
}

function keepBest(
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

function getBest(chains: ReadonlyMap<string, PartialChain> | undefined): PartialChain | undefined {
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
