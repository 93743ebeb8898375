import { LRUCache } from "lru-cache";
import type { Clock } from "./clock.ts";
import type { KeptState } from "./keptState.ts";

/** Options of {@link KeptAnswers}. */
interface KeptAnswersOptions {
    /** Maximum total size of the answers. */
    maximumBytes: number;
    /** Time to live of an answer, in milliseconds. */
    timeToLiveMilliseconds: number;
    clock: Clock;
}

/** State of a key whose request has finished. */
type FinishedState = Extract<KeptState, { kind: "finished"; }>;

/** Estimated size of an entry without the body of its answer. */
const entryOverheadBytes = 300;

/**
 * Stores the claimed requests of this node and, for a limited time, their answers, so that a retry with the same
 * idempotency key gets the same answer. Evicts the least recently used entries first.
 */
export class KeptAnswers {
    private readonly states: LRUCache<string, KeptState>;
    /** Running requests are never evicted. */
    private readonly running = new Map<string, KeptState>();

    private constructor(options: KeptAnswersOptions) {
        this.states = new LRUCache<string, KeptState>({
            maxSize: options.maximumBytes,
            ttl: options.timeToLiveMilliseconds,
            perf: { now: () => options.clock.getMonotonicTime() },
            sizeCalculation: state => entryOverheadBytes + (state.kind === "finished" ? state.answer.body.length : 0),
        });
    }

    /** Creates an empty store. */
    static create(options: KeptAnswersOptions): KeptAnswers {
        return new KeptAnswers(options);
    }

    /** Gets the state of a key, or undefined if this node did not claim it or the entry was evicted. */
    getState(key: string): KeptState | undefined {
        return this.running.get(key) ?? this.states.get(key);
    }

    /** Gets the finished requests with their answers, the most recently used first. */
    getFinished(): { key: string; state: FinishedState; }[] {
        const finished: { key: string; state: FinishedState; }[] = [];
        for (const [key, state] of this.states.entries()) {
            if (state.kind === "finished") {
                finished.push({ key, state });
            }
        }
        return finished;
    }

    /** Sets the state of a key. */
    setState(key: string, state: KeptState): void {
        if (state.kind === "running") {
            this.states.delete(key);
            this.running.set(key, state);
            return;
        }
        this.running.delete(key);
        this.states.set(key, state);
    }

    /** Removes a key whose grant or claimant id was taken over. */
    removeState(key: string): void {
        this.states.delete(key);
    }
}
