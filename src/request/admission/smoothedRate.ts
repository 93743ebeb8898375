/** Rate of events, exponentially smoothed; every event counts for exactly one over all time. */
export class SmoothedRate {
    private readonly memoryMilliseconds: number;
    private perSecond = 0;
    private updatedAt: number;

    private constructor(memoryMilliseconds: number, now: number) {
        this.memoryMilliseconds = memoryMilliseconds;
        this.updatedAt = now;
    }

    /**
     * @param memoryMilliseconds - Time after which an event counts for 1/e.
     * @param now - Monotonic time in milliseconds.
     */
    static create(memoryMilliseconds: number, now: number): SmoothedRate {
        return new SmoothedRate(memoryMilliseconds, now);
    }

    /**
     * Counts an event.
     * @param now - Monotonic time in milliseconds.
     * @param amount - What it counts for.
     */
    observe(now: number, amount = 1): void {
        this.perSecond = this.getPerSecond(now) + amount * 1000 / this.memoryMilliseconds;
        this.updatedAt = now;
    }

    /**
     * Gets the events a second.
     * @param now - Monotonic time in milliseconds.
     */
    getPerSecond(now: number): number {
        return this.perSecond * Math.exp((this.updatedAt - now) / this.memoryMilliseconds);
    }
}
