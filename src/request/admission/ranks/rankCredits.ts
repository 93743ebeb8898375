const defaultMaximumRequests = 3;

/**
 * Admits requests by credit: each arrival adds its admitted share of its cost, and a request may start while there is credit.
 *
 * It is designed for nodes with few requests of a rank, at which admission at random would be inexact for seconds.
 */
export class RankCredits {
    private readonly credits = new Map<string, number>();

    private readonly maximumRequests: number;

    private constructor(maximumRequests: number) {
        this.maximumRequests = maximumRequests;
    }

    /**
     * Creates an instance without credit.
     * @param maximumRequests - Number of requests for which credit is saved up, and for which a rank may be in debt.
     */
    static create(maximumRequests = defaultMaximumRequests): RankCredits {
        return new RankCredits(maximumRequests);
    }

    /** Adds the admitted share of the cost of a request that has arrived. */
    add(key: string, cost: number, share: number): void {
        this.credits.set(key, Math.min(this.maximumRequests * cost, (this.credits.get(key) ?? 0) + share * cost));
    }

    /** Takes off the cost of a request that was started. */
    take(key: string, cost: number): void {
        this.credits.set(key, Math.max(-this.maximumRequests * cost, (this.credits.get(key) ?? 0) - cost));
    }

    /** Checks if a request may start. */
    hasCredit(key: string): boolean {
        return (this.credits.get(key) ?? 0) > 0;
    }
}
