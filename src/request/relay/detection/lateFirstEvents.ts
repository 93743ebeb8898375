import { getCallerStay } from "../queue/getCallerStay.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { StreamRelay } from "../streams/streamRelay.ts";
import { estimateReadingTime } from "./estimateReadingTime.ts";
import { findSlowFirstStages } from "./findSlowFirstStages.ts";
import type { FirstStageTimes } from "./firstStageTimes.ts";
import { silenceBeforeFirstEventMilliseconds } from "./silenceBeforeFirstEventMilliseconds.ts";
import { silenceMilliseconds } from "./silenceMilliseconds.ts";
import { summarizeFirstStages } from "./summarizeFirstStages.ts";

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
     * Sends each stream over a second chain too whose first event is late, if most other first stages are faster.
     * @param relays - The streams that this node runs.
     * @param now - Monotonic time in milliseconds.
     */
    review(relays: readonly StreamRelay[], now: number): void {
        let firstStages: ReadonlyMap<string, FirstStageTimes> | undefined;
        for (const relay of relays) {
            if (this.isDue(relay, now)) {
                firstStages ??= summarizeFirstStages(listSentStreams(relays), now);
                this.search(relay, firstStages, now);
            }
        }
    }

    private isDue(relay: StreamRelay, now: number): boolean {
        const { attempts } = relay;
        if (attempts.hasEvents() || now < (this.searchAllowedAt.get(relay) ?? -Infinity)) {
            return false;
        }
        return now - (attempts.getSentAt() ?? now) > this.getLimit(relay);
    }

    private search(relay: StreamRelay, firstStages: ReadonlyMap<string, FirstStageTimes>, now: number): void {
        const { attempts, moves, task } = relay;
        const stages = attempts.getStages()!;
        const waitedMilliseconds = now - attempts.getSentAt()! - estimateReadingTime(this.environment, task, stages);
        if (waitedMilliseconds <= this.getLimit(relay) || attempts.isQueuedAtLink()) {
            moves.noteStay("Its prompt may still be read, or be queued at a link.");
            return;
        }
        const isUrgent = now >= task.request.arrivedAt + getCallerStay(task.route) * urgentStayFraction;
        const late = { endpointId: stages[0]!.endpoint.id, waitedMilliseconds, isUrgent };
        const slow = findSlowFirstStages(late, firstStages);
        if (slow.err) {
            moves.noteStay(slow.val);
            return;
        }
        this.searchAllowedAt.set(relay, now + searchIntervalMilliseconds);
        moves.hedgeUnbegun(slow.val, isUrgent);
    }
}

function listSentStreams(relays: readonly StreamRelay[]) {
    return relays.flatMap(({ attempts }) =>
        attempts.list().map(({ stages, sentAt, firstEventAt }) => ({
            endpointId: stages[0]!.endpoint.id,
            sentAt,
            firstEventAt,
        }))
    );
}
