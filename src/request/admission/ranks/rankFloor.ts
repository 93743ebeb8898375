import { RankCredits } from "./rankCredits.ts";
import { rankFloorFraction } from "./rankFloorFraction.ts";

/**
 * Grants each rank a minimum fraction of its demand at this node, by credit.
 *
 * It is designed for a last rank that the reserves for higher ranks would starve. Each arrival adds the floor fraction of its cost
 * to the credit of its rank, and each start takes its cost off, whether it needed the credit or not. So a rank that is served
 * anyway gets nothing extra, and a node with few requests is exact over time.
 */
export class RankFloor {
    private readonly credits = RankCredits.create(1);

    private constructor() {}

    /** Creates an instance without credit. */
    static create(): RankFloor {
        return new RankFloor();
    }

    /** Records a request that has arrived. At most one request is saved up. */
    observeArrival(key: string, cost: number): void {
        this.credits.add(key, cost, rankFloorFraction);
    }

    /** Records a request that was started. The debt is at most the cost of the request, so that it is paid off by 20 arrivals. */
    observeStart(key: string, cost: number): void {
        this.credits.take(key, cost);
    }

    /** Checks if a rank may start a request regardless of what is reserved for others. */
    hasCredit(key: string): boolean {
        return this.credits.hasCredit(key);
    }
}
