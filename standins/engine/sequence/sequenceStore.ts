import { LRUCache } from "lru-cache";
import type { Clock } from "../../../src/process/clock.ts";
import { Err, Ok, type Result } from "../../../src/result.ts";
import { Sequence } from "./sequence.ts";

const maximumTrackedAttempts = 20000;

type Identity = Sequence["identity"];

/** Options of {@link SequenceStore}. */
interface SequenceStoreOptions {
    clock: Clock;
    modelLayers: Record<string, number>;
    maximumSequences: number;
    /** Memory capacity, in positions of one layer. */
    layerPositions: number;
    idleMilliseconds: number;
}

/** Sequences in the memory of an engine. */
export class SequenceStore {
    private readonly options: SequenceStoreOptions;
    private readonly sequences = new Map<string, Sequence>();
    private readonly superseded = new Set<Sequence>();
    private readonly closedAttempts = new LRUCache<string, true>({ max: maximumTrackedAttempts });
    private readonly newestAttempts = new LRUCache<string, number>({ max: maximumTrackedAttempts });
    private usedLayerPositions = 0;

    private constructor(options: SequenceStoreOptions) {
        this.options = options;
    }

    /** Creates an empty store. */
    static create(options: SequenceStoreOptions): SequenceStore {
        return new SequenceStore(options);
    }

    /** Gets a sequence and updates its time of last use. */
    getSequence(identity: Identity): Sequence | undefined {
        const sequence = this.sequences.get(getKey(identity));
        if (sequence) {
            sequence.lastUseTime = this.options.clock.getMonotonicTime();
        }
        return sequence;
    }

    /** Finds the sequence of an attempt for any model. */
    findSequence(request: string, attempt: number): Sequence | undefined {
        for (const { identity } of this.sequences.values()) {
            if (identity.request === request && identity.attempt === attempt) {
                return this.getSequence(identity);
            }
        }
        return undefined;
    }

    /** Gets if an attempt was cancelled, dropped or superseded by a newer attempt. */
    isClosed(identity: Identity): boolean {
        return this.closedAttempts.has(getAttemptKey(identity.request, identity.attempt))
            || (this.newestAttempts.get(getRequestKey(identity)) ?? 0) > identity.attempt;
    }

    /**
     * Adds a sequence if it fits in memory. Drops idle sequences first, and superseded ones if memory is short.
     * @param identity - Request, attempt and model. The model must be known.
     * @param layerPositions - Initially required memory, in positions of one layer.
     */
    addSequence(identity: Identity, layerPositions: number): Result<Sequence, "memory"> {
        this.dropIdle();
        if (!this.hasCapacity(layerPositions)) {
            this.dropSuperseded();
        }
        if (!this.hasCapacity(layerPositions)) {
            return Err("memory");
        }
        this.supersede(identity);
        const now = this.options.clock.getMonotonicTime();
        const sequence = Sequence.create(identity, this.options.modelLayers[identity.model] ?? 0, now);
        this.sequences.set(getKey(identity), sequence);
        return Ok(sequence);
    }

    /** Adds to the used memory, in positions of one layer. */
    addUsage(layerPositions: number): void {
        this.usedLayerPositions += layerPositions;
    }

    /** Cancels an attempt and frees its memory. Later passes of the attempt are refused. */
    cancel(request: string, attempt: number): void {
        this.closedAttempts.set(getAttemptKey(request, attempt), true);
        for (const model of Object.keys(this.options.modelLayers)) {
            const sequence = this.sequences.get(getKey({ request, attempt, model }));
            if (sequence) {
                this.drop(sequence);
            }
        }
    }

    /** Gets the number of sequences that hold memory. */
    getCount(): number {
        this.dropIdle();
        return this.sequences.size;
    }

    /** Gets the free memory, in positions of one layer. */
    getFreeLayerPositions(): number {
        return Math.max(0, this.options.layerPositions - this.usedLayerPositions);
    }

    private hasCapacity(layerPositions: number): boolean {
        return this.sequences.size < this.options.maximumSequences
            && this.usedLayerPositions + layerPositions <= this.options.layerPositions;
    }

    private supersede(identity: Identity): void {
        const key = getRequestKey(identity);
        const previous = this.newestAttempts.get(key);
        this.newestAttempts.set(key, identity.attempt);
        if (previous === undefined || previous === identity.attempt) {
            return;
        }
        const sequence = this.sequences.get(getKey({ ...identity, attempt: previous }));
        if (sequence) {
            this.superseded.add(sequence);
        }
    }

    private dropSuperseded(): void {
        for (const sequence of this.superseded) {
            this.drop(sequence);
        }
    }

    private dropIdle(): void {
        const oldestUseTime = this.options.clock.getMonotonicTime() - this.options.idleMilliseconds;
        for (const sequence of this.sequences.values()) {
            if (sequence.lastUseTime < oldestUseTime) {
                this.closedAttempts.set(getAttemptKey(sequence.identity.request, sequence.identity.attempt), true);
                this.drop(sequence);
            }
        }
    }

    private drop(sequence: Sequence): void {
        this.sequences.delete(getKey(sequence.identity));
        this.superseded.delete(sequence);
        this.usedLayerPositions -= sequence.getLayerPositions();
    }
}

function getKey(identity: Identity): string {
    return `${identity.request}\n${identity.attempt}\n${identity.model}`;
}

function getAttemptKey(request: string, attempt: number): string {
    return `${request}\n${attempt}`;
}

function getRequestKey(identity: Identity): string {
    return `${identity.request}\n${identity.model}`;
}
