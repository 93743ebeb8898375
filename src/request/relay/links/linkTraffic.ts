/** Time constant of the moving average. */
const averagingMilliseconds = 2_000;
const millisecondsPerSecond = 1_000;

/** Moving average of the activation traffic between data centres that this node's requests cause. */
export class LinkTraffic {
    private bits = 0;
    private updatedAt = 0;

    private constructor() {}

    /** Creates an average without traffic. */
    static create(): LinkTraffic {
        return new LinkTraffic();
    }

    /**
     * Adds the traffic of a request.
     * @param bits - Bits over all links that the request's chain uses.
     * @param now - Monotonic time in milliseconds.
     */
    add(bits: number, now: number): void {
        this.bits = this.getBits(now) + bits;
        this.updatedAt = now;
    }

    /** Gets the moving average, in bits per second. */
    getRate(now: number): number {
        return this.getBits(now) / (averagingMilliseconds / millisecondsPerSecond);
    }

    private getBits(now: number): number {
        return this.bits * Math.exp(-(now - this.updatedAt) / averagingMilliseconds);
    }
}
