/** Exponential moving average of the rate of events; each event contributes exactly 1 to the integral of the rate. */
export class SmoothedRate {
    private readonly timeConstantMilliseconds: number;
    private perSecond = 0;
    private updatedAt: number;

    private constructor(timeConstantMilliseconds: number, now: number) {
        this.timeConstantMilliseconds = timeConstantMilliseconds;
        this.updatedAt = now;
    }

    /**
     * Creates a rate of 0.
     * @param timeConstantMilliseconds - Time after which the contribution of an event has decayed to 1/e.
     * @param now - Monotonic time in milliseconds.
     */
    static create(timeConstantMilliseconds: number, now: number): SmoothedRate {
        return new SmoothedRate(timeConstantMilliseconds, now);
    }

    /**
     * Counts an event.
     * @param now - Monotonic time in milliseconds.
     * @param amount - Number of events that it counts for.
     */
    observe(now: number, amount = 1): void {
        this.perSecond = this.getPerSecond(now) + amount * 1000 / this.timeConstantMilliseconds;
        this.updatedAt = now;
    }

    /**
     * Gets the current rate, in events a second.
     * @param now - Monotonic time in milliseconds.
     */
    getPerSecond(now: number): number {
        return this.perSecond * Math.exp((this.updatedAt - now) / this.timeConstantMilliseconds);
    }

    /**
     * Gets a number that orders rates of the same time constant as their current values do. It doesn't change with time, since all
     * of them decay by the same factor.
     */
    getOrder(): number {
        return Math.log(this.perSecond) + this.updatedAt / this.timeConstantMilliseconds;
    }
}
