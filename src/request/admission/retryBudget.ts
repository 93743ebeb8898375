/** Retries allowed for each request. */
const retryRatio = 0.1;

/** Retries a second that are allowed besides, so that a node with few requests can retry at all. */
const retriesPerSecond = 1;

/** Most retries that are saved up. */
const maximumBalance = 50;

/**
 * The node's budget of retries. When most calls fail, retrying them all would multiply the load just when the
 * endpoints can bear it least; the budget holds the retries at a tenth of the requests plus one a second.
 */
export class RetryBudget {
    private balance = maximumBalance / 5;
    private updatedAt: number;

    private constructor(now: number) {
        this.updatedAt = now;
    }

    /** @param now - Monotonic time in milliseconds. */
    static create(now: number): RetryBudget {
        return new RetryBudget(now);
    }

    /** Counts a request, not a retry. */
    observeRequest(): void {
        this.add(retryRatio);
    }

    /**
     * Takes one retry out of the budget.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether the retry may be sent.
     */
    takeRetry(now: number): boolean {
        this.add(Math.max(0, now - this.updatedAt) * retriesPerSecond / 1000);
        this.updatedAt = now;
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }

    private add(retries: number): void {
        this.balance = Math.min(maximumBalance, this.balance + retries);
    }
}
