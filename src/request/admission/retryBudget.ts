import type { RetryPolicy } from "./retryPolicy.ts";

const defaultPolicy: RetryPolicy = { ratio: 0.1, perSecond: 1, maximumBalance: 50 };
const initialBalanceFraction = 0.2;

/**
 * The node's retry budget. When most calls fail, retrying all of them would multiply the load on endpoints that are
 * already overloaded. By default, the budget limits retries to a tenth of the requests plus one a second.
 */
export class RetryBudget {
    private readonly getPolicy: () => RetryPolicy;
    private balance: number;
    private updatedAt: number;

    private constructor(now: number, getPolicy: () => RetryPolicy) {
        this.getPolicy = getPolicy;
        this.balance = getPolicy().maximumBalance * initialBalanceFraction;
        this.updatedAt = now;
    }

    /**
     * Creates a budget that holds a fraction of its maximum balance.
     * @param now - Monotonic time in milliseconds.
     * @param getPolicy - Gets the current policy.
     */
    static create(now: number, getPolicy: () => RetryPolicy = () => defaultPolicy): RetryBudget {
        return new RetryBudget(now, getPolicy);
    }

    /** Credits the budget for a request; don't call it for retries. */
    observeRequest(): void {
        const policy = this.getPolicy();
        this.add(policy.ratio, policy);
    }

    /**
     * Takes one retry from the budget.
     * @param now - Monotonic time in milliseconds.
     * @param kept - Number of retries to leave for requests that may have run, which can't be refused any more.
     * @returns Whether the retry may be sent.
     */
    takeRetry(now: number, kept = 0): boolean {
        if (this.getBalance(now) < Math.min(1 + kept, this.getPolicy().maximumBalance)) {
            return false;
        }
        this.spend();
        return true;
    }

    /** Takes one retry that is known to be left. */
    spend(): void {
        this.balance -= 1;
    }

    /**
     * Takes whole retries from the budget for another node.
     * @param wanted - Largest number to take.
     * @param kept - Number of retries to leave.
     * @param now - Monotonic time in milliseconds.
     * @returns The number that was taken.
     */
    giveAway(wanted: number, kept: number, now: number): number {
        const given = Math.max(0, Math.min(wanted, Math.floor(this.getBalance(now) - kept)));
        this.balance -= given;
        return given;
    }

    /** Adds retries that another node has given away, or that were not sent. What exceeds the maximum balance is lost. */
    receive(retries: number, now: number): void {
        this.refill(now);
        this.add(retries, this.getPolicy());
    }

    /** Gets the largest number of retries that the budget can hold now. */
    getMaximumBalance(): number {
        return this.getPolicy().maximumBalance;
    }

    /** Gets the number of retries that may be sent now; a fraction is the part of the next one. */
    getBalance(now: number): number {
        this.refill(now);
        return this.balance;
    }

    private refill(now: number): void {
        const policy = this.getPolicy();
        this.add(Math.max(0, now - this.updatedAt) * policy.perSecond / 1000, policy);
        this.updatedAt = now;
    }

    private add(retries: number, { maximumBalance }: RetryPolicy): void {
        this.balance = Math.min(maximumBalance, this.balance + retries);
    }
}
