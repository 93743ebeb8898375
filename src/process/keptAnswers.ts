import { LRUCache } from "lru-cache";
import type { Clock } from "./clock.ts";
import type { KeptState } from "./keptState.ts";

/** Options of {@link KeptAnswers}. */
interface KeptAnswersOptions {
    /** Most bytes of answers that are kept. */
    maximumBytes: number;
    /** How long an answer is kept, in milliseconds. */
    timeToLiveMilliseconds: number;
    clock: Clock;
}

/** The state of a key whose answer is kept. */
type FinishedState = Extract<KeptState, { kind: "finished"; }>;

/** Estimated bytes of an entry besides its answer. */
const entryBytes = 300;

/** The claimed requests of this node and, for a time, their answers. The least recently used go first. */
export class KeptAnswers {
    private readonly states: LRUCache<string, KeptState>;
    /** Running requests are never evicted. */
    private readonly running = new Map<string, KeptState>();

    private constructor(options: KeptAnswersOptions) {
        this.states = new LRUCache<string, KeptState>({
            maxSize: options.maximumBytes,
            ttl: options.timeToLiveMilliseconds,
            perf: { now: () => options.clock.getMonotonicTime() },
            sizeCalculation: state => entryBytes + (state.kind === "finished" ? state.answer.body.length : 0),
        });
    }

    /** Creates an empty store. */
    static create(options: KeptAnswersOptions): KeptAnswers {
        return new KeptAnswers(options);
    }

    /** Gets what is known of a key; undefined where this node did not claim it or has forgotten. */
    getState(key: string): KeptState | undefined {
        return this.running.get(key) ?? this.states.get(key);
    }

    /** Gets the answers that are kept, the most recently used first. */
    getFinished(): { key: string; state: FinishedState; }[] {
        const finished: { key: string; state: FinishedState; }[] = [];
        for (const [key, state] of this.states.entries()) {
            if (state.kind === "finished") {
                finished.push({ key, state });
            }
        }
        return finished;
    }

    /** Notes what has become of a key. */
    setState(key: string, state: KeptState): void {
        if (state.kind === "running") {
            this.states.delete(key);
            this.running.set(key, state);
            return;
        }
        this.running.delete(key);
        this.states.set(key, state);
    }

    /** Forgets a key, whose right the caller has taken. */
    removeState(key: string): void {
        this.states.delete(key);
    }
}
