import { StartBound } from "../../admission/start/startBound.ts";
import type { RelayChains } from "../chains/relayChains.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { getLatestOnTimeStart } from "./getLatestOnTimeStart.ts";
import { getLatestStart } from "./getLatestStart.ts";
import type { QueuedRelay } from "./queuedRelay.ts";

/** Options of {@link createQueuedRelay}. */
interface QueuedRelayOptions extends Pick<QueuedRelay, "start" | "refuse"> {
    environment: RelayEnvironment;
    task: RelayTask;
    chains: RelayChains;
    /** Ids of endpoints that the chain must not use; may grow while the request waits. */
    avoided: ReadonlySet<string>;
    /** Whether the request was sent to an endpoint before, so that starting it needs the retry budget. */
    isRetry: boolean;
}

/** Callers follow a retry delay of up to this fraction of the time that they have left. */
const maximumRetryDelayFraction = 1 / 3;
/**
 * Fraction of each endpoint's memory that a late request leaves free for requests that can still be served in time. Late
 * requests would otherwise be retried or started just as often as those, and the memory would be spent on late answers.
 */
const reservedFractionForTimely = 0.2;

/** Creates the queue entry of a request for a chain, which states how long it may wait and how it is started. */
export function createQueuedRelay(options: QueuedRelayOptions): QueuedRelay {
    const { environment, task, chains, avoided, isRetry, start, refuse } = options;
    const { request, service, customer, rank, ranks, isReturn, dueAt } = task;
    const { clock, streamRetries, instructions, queue, getLiveNodeCount } = environment;
    const latestOnTimeStart = getLatestOnTimeStart(environment, task);
    const rateLimited = new Set<string>();
    environment.limits.noteRequest(service.name, clock.getMonotonicTime());
    const isRanked = ranks.length > 1;
    const tokens = chains.getTokens();
    const isNew = !isRetry && !isReturn;
    const ranked = { requestId: request.id, service: service.name, rank, ranks, tokens, isNew };
    const getState = (now: number) => ({
        holdMilliseconds: queue.getMeanRunMilliseconds(),
        nodeCount: getLiveNodeCount(),
        now,
        getMemoryTokens: () => chains.getMemoryTokens(),
        getTimelyTokens: () => chains.getTimelyTokens(),
    });
    if (isRanked) {
        queue.rankReserve.noteArrival(ranked, getState(clock.getMonotonicTime()));
    }
    const getReserve = (now: number) => isRanked ? queue.rankReserve.getFraction(ranked, getState(now)) : 0;
    // A further attempt needs credit again: the refusal of the first one shows that less capacity is free than assumed.
    const isHeld = () => isRanked && queue.rankReserve.isHeld(ranked, getState(clock.getMonotonicTime()));
    const mayIgnoreReserve = () => isRanked && queue.rankReserve.mayIgnore(ranked);
    const getTimelyFraction = (now: number) => now > latestOnTimeStart ? reservedFractionForTimely : 0;
    // Only a second search could tell whether there was memory without the reserve, which would make refusals more expensive.
    const isHeldByReserve = () =>
        queue.rankReserve.getLastFraction(ranked) > getTimelyFraction(clock.getMonotonicTime()) && !mayIgnoreReserve();
    return {
        requestId: request.id,
        isRanked,
        rank,
        customer,
        cost: tokens,
        latestOnTimeStart,
        latestStart: getLatestStart(environment, task),
        maximumRetryMilliseconds: (dueAt - request.arrivedAt) * maximumRetryDelayFraction,
        // A pause ends by time alone, without a notification, and frees capacity at that moment.
        // What is left free for higher ranks differs by rank, and doesn't hold for a rank that would get too little.
        getCapacityClass: () => {
            const isRestricted = avoided.size > 0 || rateLimited.size > 0 || chains.isFirstStageRestricted();
            if (isRetry || isRestricted || instructions.hasPauses() || mayIgnoreReserve()) {
                return undefined;
            }
            return isRanked ? `${rank} ${service.name}` : service.name;
        },
        isHeld,
        tryReserve: () => {
            const now = clock.getMonotonicTime();
            const timelyFraction = getTimelyFraction(now);
            const spareFraction = Math.max(timelyFraction, getReserve(now));
            const choose = (spare: number) =>
                chains.chooseWithinLimits({ avoid: avoided, mayOvercommit: false, spareFraction: spare, rateLimited });
            const stages = choose(spareFraction)
                ?? (spareFraction > timelyFraction && mayIgnoreReserve() ? choose(timelyFraction) : undefined);
            if (stages === undefined) {
                return undefined;
            }
            if (isRetry && !streamRetries.take(task, now)) {
                chains.refundLimit(stages);
                return undefined;
            }
            if (isRanked) {
                queue.rankReserve.noteStart(ranked, now);
            }
            return { stages, reservation: chains.reserve(stages), isRetry };
        },
        isServable: () => chains.hasChain(avoided),
        getPauseRetryMilliseconds: () => chains.getPauseRetryDelay(avoided),
        getLimitRetryMilliseconds: () => chains.getLimitRetryDelay({ avoid: avoided, rateLimited }),
        getLinkBlock: () => chains.getLinkBlock(),
        start,
        refuse: (cause, retryAfterMilliseconds, bound) => {
            const isReserve = bound === StartBound.Capacity && (isHeld() || isHeldByReserve());
            const namedBound = isReserve ? StartBound.Reserve : bound;
            const refusal = { rank, customer, bound: namedBound, retryAfterMilliseconds };
            queue.refusals.note(refusal, clock.getMonotonicTime());
            refuse(cause, retryAfterMilliseconds, namedBound);
        },
    };
}
