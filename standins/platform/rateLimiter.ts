import type { Clock } from "../../src/process/clock.ts";

/** Maximum burst, in seconds of calls at the configured rate. */
const burstSeconds = 0.1;
const millisecondsPerSecond = 1_000;

/** Token bucket with a capacity of 0.1 seconds of calls, but at least one call. */
export class RateLimiter {
    private readonly clock: Clock;
    private readonly callsPerSecond: number;
    private readonly capacity: number;
    private tokens: number;
    private lastRefillTime: number;

    private constructor(clock: Clock, callsPerSecond: number) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
        this.capacity = Math.max(1, callsPerSecond * burstSeconds);
        this.tokens = this.capacity;
        this.lastRefillTime = clock.getMonotonicTime();
    }

    /**
     * Creates a full bucket.
     * @param callsPerSecond - Rate limit; Infinity for no limit.
     */
    static create(clock: Clock, callsPerSecond: number): RateLimiter {
        return new RateLimiter(clock, callsPerSecond);
    }

    /** Takes the token of one call. Returns false if the rate limit is exceeded. */
    tryTake(): boolean {
        if (this.callsPerSecond === Infinity) {
            return true;
        }
        const now = this.clock.getMonotonicTime();
        const refilledTokens = (now - this.lastRefillTime) / millisecondsPerSecond * this.callsPerSecond;
        this.tokens = Math.min(this.capacity, this.tokens + refilledTokens);
        this.lastRefillTime = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
