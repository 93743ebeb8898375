/** How fast a quota fills. */
interface QuotaRate {
    /** Requests a second. */
    requestsPerSecond: number;
    /** Most requests that it holds. */
    burst: number;
}

const secondMilliseconds = 1_000;

/** One node's quota of the requests that an endpoint takes: it fills at a rate that may change, up to a burst. */
export class LimitQuota {
    private requests: number;
    private updatedAt: number;

    private constructor(requests: number, now: number) {
        this.requests = requests;
        this.updatedAt = now;
    }

    /**
     * Creates a quota.
     * @param requests - What it holds at first.
     * @param now - Monotonic time in milliseconds.
     */
    static create(requests: number, now: number): LimitQuota {
        return new LimitQuota(requests, now);
    }

    /** Takes a request out. Returns false where the quota doesn't hold a whole one. */
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

    /** Gives back a request that was taken and not sent. */
    giveBack(): void {
        this.requests += 1;
    }
}
