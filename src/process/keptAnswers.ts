import { LRUCache } from "lru-cache";
import type { KeptAnswer } from "../request/keptAnswer.ts";
import type { Clock } from "./clock.ts";

/** What this node knows of a claimed request that it received. */
export type KeptState =
    | { kind: "running"; claimant: string; }
    | { kind: "finished"; claimant: string; answer: KeptAnswer; }
    /** Claimed, but surely not run: the grant can be used by a repeat or given to another node, once. */
    | { kind: "released"; claimant: string; }
    /** Never claimed for sure, and surely not run: it will not run here. */
    | { kind: "notRun"; claimant: string; }
    | { kind: "unknown"; claimant: string; };

/** Options of {@link KeptAnswers}. */
interface KeptAnswersOptions {
    /** Most bytes of answers that are kept. */
    maximumBytes: number;
    /** How long an answer is kept, in milliseconds. */
    timeToLiveMilliseconds: number;
    clock: Clock;
}

const entryBytes = 200;

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

    /** Notes that a claimed request runs here. */
    setRunning(key: string, claimant: string): void {
        this.states.delete(key);
        this.running.set(key, { kind: "running", claimant });
    }

    /** Notes how a claimed request ended. */
    setEnded(key: string, state: Exclude<KeptState, { kind: "running"; }>): void {
        this.running.delete(key);
        this.states.set(key, state);
    }

    /**
     * Takes a released grant, so that no other can.
     * @param key - The key.
     * @returns The claimant under which the request may now run once; undefined where nothing is released.
     */
    takeReleased(key: string): string | undefined {
        const state = this.getState(key);
        if (state?.kind !== "released") {
            return undefined;
        }
        this.states.delete(key);
        return state.claimant;
    }
}
