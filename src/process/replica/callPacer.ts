import type { RandomSource } from "../randomSource.ts";

/**
 * Minimum delay of the next call after changes, which batches changes that occur together into one call. Otherwise the wait of
 * each node would return for every change. The delay is far below the seconds within which a change must be in force.
 */
const minimumBatchDelayMilliseconds = 180;
/**
 * After more than this number of consecutive calls with changes, for example when hundreds of endpoints start and load, the delay
 * grows up to the maximum. A fault causes only a few changes, which nodes should get immediately.
 */
const callsBeforeDelayGrowth = 5;
const maximumBatchDelayMilliseconds = 600;
const batchDelayGrowthFactor = 1.5;
/** Base of the backoff after failed calls. It doubles with each failure up to the maximum. */
const baseBackoffMilliseconds = 100;
const maximumBackoffMilliseconds = 800;

/** Decides how long to wait between two calls to the store. */
export class CallPacer {
    private readonly random: RandomSource;
    private delay = 0;
    /** Calls in a row that brought changes. */
    private callsWithChanges = 0;

    private constructor(random: RandomSource) {
        this.random = random;
    }

    /** Creates a pacer that allows the first call immediately. */
    static create(random: RandomSource): CallPacer {
        return new CallPacer(random);
    }

    /** Records a full listing. */
    noteListing(): void {
        // After this delay, a review has decided whether this node should wait for changes at all.
        this.delay = minimumBatchDelayMilliseconds * 2;
    }

    /** Records a call for changes that was answered. */
    noteChanges(hasChanges: boolean): void {
        this.callsWithChanges = hasChanges ? this.callsWithChanges + 1 : 0;
        this.delay = hasChanges ? this.getBatchDelay() : 0;
    }

    /** Records a call that was aborted to be replaced by a new one. */
    noteReplaced(): void {
        this.delay = 0;
    }

    /** Gets the delay before the next call after an answered one, in milliseconds. */
    getDelay(): number {
        return this.delay;
    }

    /** Gets the delay before the next call after a number of failed ones in a row, in milliseconds. */
    getBackoff(failures: number): number {
        const doubled = baseBackoffMilliseconds * 2 ** Math.min(failures, 10);
        return Math.min(doubled, maximumBackoffMilliseconds) * (0.5 + this.random() / 2);
    }

    private getBatchDelay(): number {
        if (this.callsWithChanges <= callsBeforeDelayGrowth) {
            return minimumBatchDelayMilliseconds;
        }
        const grown = Math.max(minimumBatchDelayMilliseconds, this.delay) * batchDelayGrowthFactor;
        return Math.min(grown, maximumBatchDelayMilliseconds);
    }
}
