import type { Clock } from "../../src/process/clock.ts";

/** Share of a second's calls that may come at once. */
const burstSeconds = 0.1;
const millisecondsPerSecond = 1_000;

/** A token bucket that holds a tenth of a second's calls, and at least one. */
export class RateLimiter {
    private readonly clock: Clock;
    private readonly callsPerSecond: number;
    private readonly capacity: number;
    private tokens: number;
    private filledAt: number;

    private constructor(clock: Clock, callsPerSecond: number) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
        this.capacity = Math.max(1, callsPerSecond * burstSeconds);
        this.tokens = this.capacity;
        this.filledAt = clock.getMonotonicTime();
    }

    /**
     * Creates a full bucket.
     * @param clock - Clock that fills the bucket.
     * @param callsPerSecond - Calls a second; Infinity for no limit.
     */
    static create(clock: Clock, callsPerSecond: number): RateLimiter {
        return new RateLimiter(clock, callsPerSecond);
    }

    /** Takes one call's token. False where the call comes too soon. */
    tryTake(): boolean {
        if (this.callsPerSecond === Infinity) {
            return true;
        }
        const now = this.clock.getMonotonicTime();
        const filled = (now - this.filledAt) / millisecondsPerSecond * this.callsPerSecond;
        this.tokens = Math.min(this.capacity, this.tokens + filled);
        this.filledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
