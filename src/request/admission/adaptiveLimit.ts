/** Part of the running requests that goes on after a refusal. */
const decreaseFactor = 0.9;

/** Part of a place that a run that ended well adds: the limit grows by this part in a round of runs. */
const increasePerRun = 0.1;

/**
 * A limit of the requests in progress that is learned from the refusals of the engines: it shrinks by a tenth
 * on a refusal and grows by as much in a round of runs that uses it up. It only ever lowers the limit that was given.
 */
export class AdaptiveLimit {
    private learned = Number.POSITIVE_INFINITY;
    private decreasedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a limit that has learned nothing yet: the given limit holds. */
    static create(): AdaptiveLimit {
        return new AdaptiveLimit();
    }

    /**
     * Gets the limit in force; at least 1 unless the given limit is lower.
     * @param given - Upper limit.
     */
    getLimit(given: number): number {
        return Math.min(given, Math.max(1, Math.floor(this.learned)));
    }

    /**
     * Lowers the limit, once for the refusals of one round of runs.
     * @param running - Requests in progress, the refused one among them.
     * @param roundMilliseconds - Time of a run.
     * @param now - Monotonic time in milliseconds.
     */
    observeRefusal(running: number, roundMilliseconds: number, now: number): void {
        if (now - this.decreasedAt < roundMilliseconds) {
            return;
        }
        this.decreasedAt = now;
        this.learned = Math.max(1, Math.min(this.learned, running) * decreaseFactor);
    }

    /**
     * Raises the limit after a run that ended well.
     * @param running - Requests in progress before the run ended.
     * @param given - Upper limit; the learned one is given up on reaching it.
     */
    observeSuccess(running: number, given: number): void {
        // A limit that is not used up says nothing about what the engines can take.
        if (running < Math.floor(this.learned)) {
            return;
        }
        this.learned += increasePerRun;
        if (this.learned >= given) {
            this.learned = Number.POSITIVE_INFINITY;
        }
    }
}
