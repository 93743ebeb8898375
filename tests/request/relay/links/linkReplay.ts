import type { RandomSource } from "../../../../src/process/randomSource.ts";
import { choosePartners } from "../../../../src/process/router/choosePartners.ts";
import { SmoothedRate } from "../../../../src/request/admission/smoothedRate.ts";
import { getActivationBits } from "../../../../src/request/relay/links/getActivationBits.ts";
import type { EngineModel } from "../../../../src/version/routing/engineModel.ts";
import { createSeededRandom } from "../../../support/createSeededRandom.ts";
import { relayModel } from "../relayModel.ts";

/** A request of the replay, and how far it has got. */
export interface ReplayRequest {
    readonly arrivedAt: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly isReturn: boolean;
    firstEventAt: number | undefined;
    isOver: boolean;
}

/** The decisions of one node on a link. */
export interface ReplayNode {
    /** Gets the time in milliseconds until a request may use the link. */
    getWait(request: ReplayRequest, now: number): number;
    /** Gets the retry delay of a request that is refused. */
    getRetryDelay(request: ReplayRequest, waitMilliseconds: number, now: number): number;
    begin(request: ReplayRequest, now: number): void;
    noteEvent(request: ReplayRequest, now: number): void;
    end(request: ReplayRequest, now: number): void;
    tell(peer: ReplayNode, now: number): void;
}

interface ReplayOptions {
    seed: number;
    /** Requests per second at all nodes together. */
    requestsPerSecond: number;
    /** Fraction of its configured bandwidth that the link has. */
    bandwidthFraction?: number;
    createNode(index: number, random: RandomSource, getDemand: () => number): ReplayNode;
}

/** What became of the requests of a replay. */
interface ReplayResult {
    arrived: number;
    begun: number;
    /** Fraction of those begun that got their first event within the objective. */
    onTime: number;
    /** Fraction of those begun that got an event before their caller left. */
    answered: number;
    /** Traffic of those answered, as a fraction of what the nodes may use of the link. */
    usedFraction: number;
    /** Number of requests that were refused at their first arrival. */
    refused: number;
    /** Time from the end of the load until the queue at the link is empty. */
    drainMilliseconds: number;
}

export const replayNodeCount = 25;
export const objectiveMilliseconds = 500;
export const callerWaitMilliseconds = 2_000;
export const replayModel: EngineModel = {
    ...relayModel,
    activationBytesPerToken: 24_600,
    linkMegabitsPerSecond: 1_700,
    typicalPromptTokens: 612,
    typicalAnswerTokens: 240,
};

const dataCentres = ["a", "b", "c"];
const bitsPerMillisecond = replayModel.linkMegabitsPerSecond * 1_000;
const usableFraction = 0.7;
const stepMilliseconds = 5;
const warmUpMilliseconds = 12_000;
const loadMilliseconds = 8_000;
const answerMilliseconds = 4_000;
const roundMilliseconds = 450;
const demandTimeConstantMilliseconds = 5_000;
const callerTimeLeftMilliseconds = 10_000;
/** Mean time to a first event without the link. */
const usualFirstEventMilliseconds = 120;

/**
 * Replays the time after a loss, in which no data centre is complete and all requests need one link: the link is a queue with a rate, the
 * nodes have unequal traffic and exchange messages as in a deployment of their number, and callers leave or come back once.
 * A transfer that was queued is made even if its caller has left.
 */
export function replayLink(options: ReplayOptions): ReplayResult {
    const { requestsPerSecond, createNode, bandwidthFraction = 1 } = options;
    const random = createSeededRandom(options.seed);
    const weights = Array.from({ length: replayNodeCount }, () => 0.4 + 1.2 * random());
    const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
    let now = -warmUpMilliseconds;
    const demands = weights.map(() => SmoothedRate.create(demandTimeConstantMilliseconds, now));
    const nodes = weights.map((_, index) => createNode(index, random, () => demands[index]!.getPerSecond(now)));
    const known = nodes.map((_, index) => createKnownNode(index));
    const rounds = nodes.map(() => ({ at: now + roundMilliseconds * random(), count: 0 }));
    const waiting: { node: ReplayNode; request: ReplayRequest; }[] = [];
    const returns: { at: number; index: number; request: ReplayRequest; }[] = [];
    const begun: { index: number; request: ReplayRequest; eventAt: number; }[] = [];
    let linkFreeAt = now;
    let runningTokens: { until: number; bits: number; }[] = [];
    let arrived = 0;
    let refused = 0;
    const answered: ReplayRequest[] = [];
    const refuse = (index: number, request: ReplayRequest, wait: number): void => {
        refused += request.isReturn ? 0 : 1;
        const delay = Math.min(nodes[index]!.getRetryDelay(request, wait, now), callerTimeLeftMilliseconds / 3);
        if (!request.isReturn) {
            returns.push({ at: now + delay, index, request });
        }
    };
    const arrive = (index: number, promptTokens: number, answerTokens: number, isReturn: boolean): void => {
        demands[index]!.observe(now, isReturn ? 0 : promptTokens + answerTokens);
        if (now < 0) {
            return;
        }
        arrived += 1;
        const request = {
            arrivedAt: now,
            promptTokens,
            answerTokens,
            isReturn,
            firstEventAt: undefined,
            isOver: false,
        };
        waiting.push({ node: nodes[index]!, request });
    };
    for (; now < loadMilliseconds + 3 * callerWaitMilliseconds; now += stepMilliseconds) {
        for (const [index, round] of rounds.entries()) {
            if (now < round.at) {
                continue;
            }
            const { dataCentre } = known[index]!;
            const others = known.filter((_, other) => other !== index);
            const sources = round.count % 3 === 0 ? [] : [known[dataCentres.indexOf(dataCentre)]!.address];
            const partners = choosePartners({
                nodeId: known[index]!.nodeId,
                dataCentre,
                nodes: others,
                sources: sources.filter(address => address !== known[index]!.address),
                isDistributor: false,
                isProofDue: false,
                round: round.count,
                isBusy: true,
                random,
            });
            for (const address of partners) {
                nodes[index]!.tell(nodes[Number(address)]!, now);
                nodes[Number(address)]!.tell(nodes[index]!, now);
            }
            round.at = now + roundMilliseconds * (0.8 + 0.4 * random());
            round.count += 1;
        }
        if (now < loadMilliseconds && random() < requestsPerSecond * stepMilliseconds / 1_000) {
            arrive(choose(weights, random() * weightSum), drawPromptTokens(random), 40 + 400 * random(), false);
        }
        for (const { index, request } of takeIf(returns, ({ at }) => now >= at && now < loadMilliseconds)) {
            arrive(index, request.promptTokens, request.answerTokens, true);
        }
        runningTokens = runningTokens.filter(({ until }) => now < until);
        const tokenBits = runningTokens.reduce((sum, { bits }) => sum + bits, 0);
        linkFreeAt = Math.max(linkFreeAt, now)
            + tokenBits * stepMilliseconds / (bitsPerMillisecond * bandwidthFraction);
        for (const entry of [...waiting]) {
            const { node, request } = entry;
            const index = nodes.indexOf(node);
            const wait = now < loadMilliseconds ? node.getWait(request, now) : callerWaitMilliseconds;
            const latestStart = request.arrivedAt
                + (request.isReturn ? 0 : objectiveMilliseconds - usualFirstEventMilliseconds);
            // As in the start queue: decided on arrival, and again when the request can't be on time any more.
            if (wait > 0 && now + (now === request.arrivedAt ? wait : 0) <= latestStart) {
                continue;
            }
            waiting.splice(waiting.indexOf(entry), 1);
            if (wait > 0) {
                refuse(index, request, wait);
                continue;
            }
            node.begin(request, now);
            linkFreeAt = Math.max(linkFreeAt, now)
                + getActivationBits(replayModel, request.promptTokens) / (bitsPerMillisecond * bandwidthFraction);
            begun.push({ index, request, eventAt: linkFreeAt + drawFirstEvent(random) });
        }
        for (const { index, request, eventAt } of begun) {
            const hasLeft = now - request.arrivedAt >= callerWaitMilliseconds && request.firstEventAt === undefined;
            if (request.isOver) {
                continue;
            }
            if (request.firstEventAt === undefined && now >= eventAt && !hasLeft) {
                request.firstEventAt = now;
                answered.push(request);
                nodes[index]!.noteEvent(request, now);
                const bits = getActivationBits(replayModel, request.answerTokens) / answerMilliseconds;
                runningTokens.push({ until: now + answerMilliseconds, bits });
            }
            if (hasLeft || now >= eventAt + answerMilliseconds) {
                request.isOver = true;
                nodes[index]!.end(request, now);
                if (hasLeft && !request.isReturn) {
                    returns.push({ at: now, index, request });
                }
            }
        }
    }
    const onTime = answered.filter(({ arrivedAt, firstEventAt }) => firstEventAt! - arrivedAt <= objectiveMilliseconds);
    const bits = answered.reduce(
        (sum, request) => sum + getActivationBits(replayModel, request.promptTokens + request.answerTokens),
        0,
    );
    return {
        arrived,
        begun: begun.length,
        onTime: onTime.length / begun.length,
        answered: answered.length / begun.length,
        usedFraction: bits / (bitsPerMillisecond * usableFraction * bandwidthFraction * loadMilliseconds),
        refused,
        drainMilliseconds: Math.max(0, Math.max(...begun.map(({ eventAt }) => eventAt)) - loadMilliseconds),
    };
}

function createKnownNode(index: number) {
    const dataCentre = dataCentres[index % dataCentres.length]!;
    const nodeId = `n${String(index).padStart(2, "0")}`;
    return { nodeId, address: String(index), dataCentre, isWithoutStore: false, heardAt: 0 };
}

function choose(weights: readonly number[], point: number): number {
    let sum = 0;
    return weights.findIndex(weight => (sum += weight) >= point);
}

/** Draws the time to a first event without the link. */
export function drawFirstEvent(random: RandomSource): number {
    return usualFirstEventMilliseconds * (0.7 + 0.6 * random());
}

/** Draws a prompt of 100 to 2,200 tokens, with a mean of about 612. */
function drawPromptTokens(random: RandomSource): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.min(2_200, Math.max(100, 470 * Math.exp(0.8 * normal)));
}

function takeIf<Item>(items: Item[], isTaken: (item: Item) => boolean): Item[] {
    const taken = items.filter(isTaken);
    for (const item of taken) {
        items.splice(items.indexOf(item), 1);
    }
    return taken;
}
