import type { QueuedRelay } from "./queuedRelay.ts";
import type { RelayChains } from "./relayChains.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayTask } from "./relayTask.ts";

/** What a request asks to be started with. */
interface QueuedRelayOptions extends Pick<QueuedRelay, "start" | "refuse"> {
    environment: RelayEnvironment;
    task: RelayTask;
    chains: RelayChains;
    /** Ids of endpoints that its chain does without; may grow. */
    avoided: ReadonlySet<string>;
    /** Whether an endpoint got it before, which the budget of repeats bounds. */
    isRepeat: boolean;
}

/**
 * A request waits for room at most this long: its first event then still comes before its caller leaves. A late answer is worth
 * more to callers than a refusal.
 */
const longestWaitMilliseconds = 1_200;
/** Callers honour a time to come back of up to this part of the time that they have left. */
const returnPart = 1 / 3;
/** At most this part of the objective is kept for the way to the first event; the rest may be waited. */
const longestReservePart = 0.6;
/**
 * A request that is late already leaves this part of each endpoint's memory to those that can still be served in time: it
 * would come back, or find room at once, just as often as they do, and the room is then spent on late answers.
 */
const latePart = 0.2;

/** Creates what the queue needs to know of a request for a chain: how long it may wait, and how it takes its place. */
export function createQueuedRelay(options: QueuedRelayOptions): QueuedRelay {
    const { environment, task, chains, avoided, isRepeat, start, refuse } = options;
    const { request, route, customer, rank, isReturn, dueAt } = task;
    const { clock, firstEvents, repeats } = environment;
    const reserve = Math.min(firstEvents.getExpected(), route.objectiveMilliseconds * longestReservePart);
    const timelyUntil = isReturn ? -Infinity : request.arrivedAt + route.objectiveMilliseconds - reserve;
    const closed = new Set<string>();
    environment.limits.noteRequest(task.service.name, clock.getMonotonicTime());
    return {
        requestId: request.id,
        rank,
        customer,
        cost: chains.getTokens(),
        timelyUntil,
        waitsUntil: Math.min(request.arrivedAt + longestWaitMilliseconds, dueAt),
        longestReturnMilliseconds: (dueAt - request.arrivedAt) * returnPart,
        takePlace: () => {
            const now = clock.getMonotonicTime();
            const sparePart = now > timelyUntil ? latePart : 0;
            const stages = chains.chooseOpen({ avoid: avoided, mayOverfill: false, sparePart, closed });
            if (stages === undefined) {
                return undefined;
            }
            if (isRepeat && !repeats.takeRetry(now)) {
                chains.giveBack(stages);
                return undefined;
            }
            return { stages, reservation: chains.reserve(stages) };
        },
        isServable: () => chains.hasChain(avoided),
        getLimitReturn: () => chains.getLimitReturn({ avoid: avoided, closed }),
        start,
        refuse,
    };
}
