import type { RelayChains } from "../chains/relayChains.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { getLatestOnTimeStart } from "./getLatestOnTimeStart.ts";
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

/**
 * Maximum time that a request waits for free memory. Its first event then still comes before the caller gives up, and a late
 * answer is worth more to callers than a refusal.
 */
const maximumWaitMilliseconds = 1_200;
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
    const { request, customer, rank, dueAt } = task;
    const { clock, retryBudget, instructions } = environment;
    const latestOnTimeStart = getLatestOnTimeStart(environment, task);
    const rateLimited = new Set<string>();
    environment.limits.noteRequest(task.service.name, clock.getMonotonicTime());
    return {
        requestId: request.id,
        rank,
        customer,
        cost: chains.getTokens(),
        latestOnTimeStart,
        latestStart: Math.min(request.arrivedAt + maximumWaitMilliseconds, dueAt),
        maximumRetryMilliseconds: (dueAt - request.arrivedAt) * maximumRetryDelayFraction,
        // A pause ends by time alone, without a notification, and frees capacity at that moment.
        getCapacityClass: () =>
            isRetry || avoided.size > 0 || rateLimited.size > 0 || instructions.hasPauses()
                ? undefined
                : task.service.name,
        tryReserve: () => {
            const now = clock.getMonotonicTime();
            const spareFraction = now > latestOnTimeStart ? reservedFractionForTimely : 0;
            const stages = chains.chooseWithinLimits({
                avoid: avoided,
                mayOvercommit: false,
                spareFraction,
                rateLimited,
            });
            if (stages === undefined) {
                return undefined;
            }
            if (isRetry && !retryBudget.takeRetry(now)) {
                chains.refundLimit(stages);
                return undefined;
            }
            return { stages, reservation: chains.reserve(stages) };
        },
        isServable: () => chains.hasChain(avoided),
        getPauseRetryMilliseconds: () => chains.getPauseRetryDelay(avoided),
        getLimitRetryMilliseconds: () => chains.getLimitRetryDelay({ avoid: avoided, rateLimited }),
        start,
        refuse,
    };
}
