/** Time after which the weight of an observation has decayed to 1/e. */
const timeConstantMilliseconds = 10_000;

/**
 * Estimates the drain rate of a queue from the time per token of the requests that ended. Unlike a count of completions per
 * second, the estimate stays valid at low load.
 */
export class DrainRate {
    private elapsedMilliseconds = 0;
    private cost = 0;
    private runs = 0;
    private updatedAt = 0;

    private constructor() {}

    /** Creates a rate without observations. */
    static create(): DrainRate {
        return new DrainRate();
    }

    /**
     * Records a run that ended.
     * @param cost - Expected cost of the run, in tokens.
     * @param elapsedMilliseconds - Duration of the run.
     * @param now - Monotonic time in milliseconds.
     */
    observe(cost: number, elapsedMilliseconds: number, now: number): void {
        const decay = Math.exp((this.updatedAt - now) / timeConstantMilliseconds);
        this.updatedAt = now;
        this.cost = this.cost * decay + cost;
        this.elapsedMilliseconds = this.elapsedMilliseconds * decay + elapsedMilliseconds;
        this.runs = this.runs * decay + 1;
    }

    /** Gets the drain rate at a concurrency, in tokens a millisecond; undefined before the first run has ended. */
    getRate(concurrency: number): number | undefined {
        return this.elapsedMilliseconds > 0 ? concurrency * this.cost / this.elapsedMilliseconds : undefined;
    }

    /** Gets the expected duration of a run of a cost, in milliseconds; 0 before the first run has ended. */
    getRunMilliseconds(cost: number): number {
        return this.cost > 0 ? cost * this.elapsedMilliseconds / this.cost : 0;
    }

    /** Gets the mean duration of a run in milliseconds; undefined before the first run has ended. */
    getMeanRunMilliseconds(): number | undefined {
        return this.runs > 0 ? this.elapsedMilliseconds / this.runs : undefined;
    }
}
