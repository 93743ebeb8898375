/** What this node has sent between data centres counts for this long, on average. */
const memoryMilliseconds = 2_000;
const secondMilliseconds = 1_000;

/** How many bits of activations this node's requests move between data centres, as a moving average. */
export class PipeLoad {
    private bits = 0;
    private updatedAt = 0;

    private constructor() {}

    /** Creates a record without traffic. */
    static create(): PipeLoad {
        return new PipeLoad();
    }

    /**
     * Notes what a request moves.
     * @param bits - Bits over all its crossings.
     * @param now - Monotonic time in milliseconds.
     */
    add(bits: number, now: number): void {
        this.bits = this.getBits(now) + bits;
        this.updatedAt = now;
    }

    /** Gets the moving average, in bits a second. */
    getRate(now: number): number {
        return this.getBits(now) / (memoryMilliseconds / secondMilliseconds);
    }

    private getBits(now: number): number {
        return this.bits * Math.exp(-(now - this.updatedAt) / memoryMilliseconds);
    }
}
