/** Refill rate and capacity of a quota. */
interface QuotaRate {
    /** Refill rate in requests per second. */
    requestsPerSecond: number;
    /** Maximum number of requests in the quota. */
    burst: number;
}

const secondMilliseconds = 1_000;

/** Token bucket for one node's share of an endpoint's rate limit. Its refill rate and burst may change. */
export class LimitQuota {
    private requests: number;
    private updatedAt: number;

    private constructor(requests: number, now: number) {
        this.requests = requests;
        this.updatedAt = now;
    }

    /**
     * Creates a quota.
     * @param requests - Initial number of requests in the quota.
     * @param now - Monotonic time in milliseconds.
     */
    static create(requests: number, now: number): LimitQuota {
        return new LimitQuota(requests, now);
    }

    /** Takes a request out of the quota. Returns false if it holds less than one. */
    take({ requestsPerSecond, burst }: QuotaRate, now: number): boolean {
        const filled = Math.max(0, now - this.updatedAt) * requestsPerSecond / secondMilliseconds;
        this.requests = Math.min(burst, this.requests + filled);
        this.updatedAt = now;
        if (this.requests < 1) {
            return false;
        }
        this.requests -= 1;
        return true;
    }

    /** Returns a request that was taken but not sent. */
    refund(): void {
        this.requests += 1;
    }
}
