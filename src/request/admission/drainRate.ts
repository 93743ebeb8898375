/** Time after which an observation counts for 1/e, in milliseconds. */
const memoryMilliseconds = 10_000;

/**
 * Measures how fast the work at a gate drains: the time that one place spends on a token, from the runs that
 * ended. Unlike a count of what ended a second, it holds while there is little to do.
 */
export class DrainRate {
    private elapsedMilliseconds = 0;
    private cost = 0;
    private runs = 0;
    private updatedAt = 0;

    private constructor() {}

    /** Creates a rate that has seen no runs. */
    static create(): DrainRate {
        return new DrainRate();
    }

    /**
     * Counts a run that ended.
     * @param cost - Expected cost of the run, in tokens.
     * @param elapsedMilliseconds - Time that it held its place.
     * @param now - Monotonic time in milliseconds.
     */
    observe(cost: number, elapsedMilliseconds: number, now: number): void {
        const kept = Math.exp((this.updatedAt - now) / memoryMilliseconds);
        this.updatedAt = now;
        this.cost = this.cost * kept + cost;
        this.elapsedMilliseconds = this.elapsedMilliseconds * kept + elapsedMilliseconds;
        this.runs = this.runs * kept + 1;
    }

    /** Gets the tokens a millisecond of a number of places; undefined before the first run has ended. */
    getRate(places: number): number | undefined {
        return this.elapsedMilliseconds > 0 ? places * this.cost / this.elapsedMilliseconds : undefined;
    }

    /** Gets the time that a run of a cost holds its place, in milliseconds; 0 before the first run has ended. */
    getRunMilliseconds(cost: number): number {
        return this.cost > 0 ? cost * this.elapsedMilliseconds / this.cost : 0;
    }

    /** Gets the mean time of a run in milliseconds; undefined before the first run has ended. */
    getMeanRunMilliseconds(): number | undefined {
        return this.runs > 0 ? this.elapsedMilliseconds / this.runs : undefined;
    }
}
