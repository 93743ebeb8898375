/** Factor by which a refusal reduces the limit. */
const decreaseFactor = 0.9;

/** Amount that each successful request adds, so one round of requests at the limit raises it by this fraction. */
const increasePerRun = 0.1;

/**
 * Concurrency limit that adapts to the refusals of the engines: it decreases by a tenth on a refusal and increases by a
 * tenth in a round of successful requests that uses the full limit. It never exceeds the given upper limit.
 */
export class AdaptiveLimit {
    private learnedLimit = Number.POSITIVE_INFINITY;
    private decreasedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a limit that equals the upper limit until the first refusal. */
    static create(): AdaptiveLimit {
        return new AdaptiveLimit();
    }

    /**
     * Gets the current limit; at least 1 unless the upper limit is lower.
     * @param upperLimit - Upper limit.
     */
    getLimit(upperLimit: number): number {
        return Math.min(upperLimit, Math.max(1, Math.floor(this.learnedLimit)));
    }

    /**
     * Lowers the limit, at most once per mean run time so that the refusals of one round count once.
     * @param running - Number of requests in flight, including the refused one.
     * @param meanRunMilliseconds - Mean run time of a request.
     * @param now - Monotonic time in milliseconds.
     */
    observeRefusal(running: number, meanRunMilliseconds: number, now: number): void {
        if (now - this.decreasedAt < meanRunMilliseconds) {
            return;
        }
        this.decreasedAt = now;
        this.learnedLimit = Math.max(1, Math.min(this.learnedLimit, running) * decreaseFactor);
    }

    /**
     * Raises the limit after a successful request.
     * @param running - Number of requests in flight, including the successful one.
     * @param upperLimit - Upper limit; the learned limit is discarded when it reaches this.
     */
    observeSuccess(running: number, upperLimit: number): void {
        // If the limit is not fully used, success does not show that the engines could serve more.
        if (running < Math.floor(this.learnedLimit)) {
            return;
        }
        this.learnedLimit += increasePerRun;
        if (this.learnedLimit >= upperLimit) {
            this.learnedLimit = Number.POSITIVE_INFINITY;
        }
    }
}
