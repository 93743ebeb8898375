import type { RetryPolicy } from "./retryPolicy.ts";

const defaultPolicy: RetryPolicy = { ratio: 0.1, perSecond: 1, maximumBalance: 50 };
const startPart = 0.2;

/**
 * The node's budget of retries. When most calls fail, retrying them all would multiply the load just when the
 * endpoints can bear it least; by default the budget holds the retries at a tenth of the requests plus one a second.
 */
export class RetryBudget {
    private readonly getPolicy: () => RetryPolicy;
    private balance: number;
    private updatedAt: number;

    private constructor(now: number, getPolicy: () => RetryPolicy) {
        this.getPolicy = getPolicy;
        this.balance = getPolicy().maximumBalance * startPart;
        this.updatedAt = now;
    }

    /**
     * Creates a budget with a part of what can be saved up.
     * @param now - Monotonic time in milliseconds.
     * @param getPolicy - Gets how many retries are allowed now.
     */
    static create(now: number, getPolicy: () => RetryPolicy = () => defaultPolicy): RetryBudget {
        return new RetryBudget(now, getPolicy);
    }

    /** Counts a request, not a retry. */
    observeRequest(): void {
        const policy = this.getPolicy();
        this.add(policy.ratio, policy);
    }

    /**
     * Takes one retry out of the budget.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether the retry may be sent.
     */
    takeRetry(now: number): boolean {
        const policy = this.getPolicy();
        this.add(Math.max(0, now - this.updatedAt) * policy.perSecond / 1000, policy);
        this.updatedAt = now;
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }

    private add(retries: number, { maximumBalance }: RetryPolicy): void {
        this.balance = Math.min(maximumBalance, this.balance + retries);
    }
}
