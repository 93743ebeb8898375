import { getCallerStay } from "../queue/getCallerStay.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { StreamRelay } from "../streams/streamRelay.ts";
import { estimateReadingTime } from "./estimateReadingTime.ts";
import { findSlowFirstStages } from "./findSlowFirstStages.ts";
import { silenceBeforeFirstEventMilliseconds } from "./silenceBeforeFirstEventMilliseconds.ts";
import { silenceMilliseconds } from "./silenceMilliseconds.ts";

/** Fraction of the latency objective after which a first event is late, so that a second chain may still be on time. */
const lateFraction = 0.5;
/** Fraction of its caller's stay after which a stream without an event is urgent. */
const urgentStayFraction = 0.5;
/** Time after which a second chain is searched again. */
const searchIntervalMilliseconds = 200;

/**
 * Sends streams whose first event is late over a second chain, while their first stage still reads the prompts of others. Its answers to
 * checks don't excuse it if other first stages are faster: the caller would leave.
 */
export class LateFirstEvents {
    private readonly environment: Pick<RelayEnvironment, "directory">;

    /** Monotonic time in milliseconds before which no second chain is searched for a stream. */
    private readonly searchAllowedAt = new WeakMap<StreamRelay, number>();

    private constructor(environment: Pick<RelayEnvironment, "directory">) {
        this.environment = environment;
    }

    /** Creates the review of a node's streams. */
    static create(environment: Pick<RelayEnvironment, "directory">): LateFirstEvents {
        return new LateFirstEvents(environment);
    }

    /** Gets the time in milliseconds after which the first event of a stream is late. */
    getLimit({ task: { route } }: StreamRelay): number {
        const limit = Math.max(silenceMilliseconds, route.targetLatencyMilliseconds * lateFraction);
        return Math.min(silenceBeforeFirstEventMilliseconds, limit);
    }

    /**
     * Sends a stream over a second chain too if its first event is late, and most other first stages are faster.
     * @param relay - The stream.
     * @param relays - The streams that this node runs.
     * @param now - Monotonic time in milliseconds.
     */
    review(relay: StreamRelay, relays: Iterable<StreamRelay>, now: number): void {
        const { attempts, moves, task } = relay;
        const limit = this.getLimit(relay);
        const milliseconds = now - (attempts.getSentAt() ?? now);
        const isSearched = now < (this.searchAllowedAt.get(relay) ?? -Infinity);
        if (attempts.hasEvents() || milliseconds <= limit || isSearched) {
            return;
        }
        const stages = attempts.getStages()!;
        const waitedMilliseconds = milliseconds - estimateReadingTime(this.environment, task, stages);
        if (waitedMilliseconds <= limit || attempts.isQueuedAtLink()) {
            moves.noteStay("Its prompt may still be read, or be queued at a link.");
            return;
        }
        const isUrgent = now >= task.request.arrivedAt + getCallerStay(task.route) * urgentStayFraction;
        const late = { endpointId: stages[0]!.endpoint.id, waitedMilliseconds, isUrgent };
        const slow = findSlowFirstStages(late, listSentStreams(relays), now);
        if (slow.err) {
            moves.noteStay(slow.val);
            return;
        }
        this.searchAllowedAt.set(relay, now + searchIntervalMilliseconds);
        moves.hedgeUnbegun(slow.val, isUrgent);
    }
}

function* listSentStreams(relays: Iterable<StreamRelay>) {
    for (const relay of relays) {
        for (const { stages, sentAt, firstEventAt } of relay.attempts.list()) {
            yield { endpointId: stages[0]!.endpoint.id, sentAt, firstEventAt };
        }
    }
}
