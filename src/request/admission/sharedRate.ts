import type { RandomSource } from "../../process/randomSource.ts";
import { ReturnSchedule } from "./returnSchedule.ts";
import { SmoothedRate } from "./smoothedRate.ts";

/** Options of a {@link SharedRate}. */
interface SharedRateOptions {
    /** Time over which the demand is measured, in milliseconds. */
    memoryMilliseconds: number;
    /** Source of the first credit and of the spread of returns. */
    random: RandomSource;
    /** Monotonic time in milliseconds. */
    now: number;
}

/**
 * One node's part of a rate that all nodes share by demand, such as a customer's requests a second. Every arrival earns the part
 * of a request that the limit leaves of the whole demand, and passes once a whole one is there. So a node's share follows its demand
 * at once, and nodes that see one request in many seconds still pass the right number together, which a token bucket a node does not.
 */
export class SharedRate {
    private readonly arrivals: SmoothedRate;
    private readonly returns: ReturnSchedule;
    /** Part of a request that is earned; starts at random so that the nodes do not pass their first ones together. */
    private credit: number;

    private constructor({ memoryMilliseconds, random, now }: SharedRateOptions) {
        this.arrivals = SmoothedRate.create(memoryMilliseconds, now);
        this.returns = ReturnSchedule.create(random);
        this.credit = random();
    }

    /** Creates a rate without arrivals. */
    static create(options: SharedRateOptions): SharedRate {
        return new SharedRate(options);
    }

    /**
     * Gets the arrivals at this node, in requests a second.
     * @param now - Monotonic time in milliseconds.
     */
    getDemand(now: number): number {
        return this.arrivals.getPerSecond(now);
    }

    /**
     * Counts an arrival.
     * @param limit - Limit over all nodes, in requests a second.
     * @param peerDemand - Arrivals at the other nodes, in requests a second.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether it passes.
     */
    take(limit: number, peerDemand: number, now: number): boolean {
        this.credit += this.getPassedPart(limit, peerDemand, now);
        this.arrivals.observe(now);
        if (this.credit < 1) {
            return false;
        }
        this.credit -= 1;
        return true;
    }

    /** Gives back the place of a request that passed and was then refused for another reason. */
    giveBack(): void {
        this.credit = Math.min(1, this.credit + 1);
    }

    /**
     * Gets when a refused caller should come back, in milliseconds from now.
     * @param limit - Limit over all nodes, in requests a second.
     * @param peerDemand - Arrivals at the other nodes, in requests a second.
     * @param now - Monotonic time in milliseconds.
     */
    bookReturn(limit: number, peerDemand: number, now: number): number {
        const passedPerSecond = this.getDemand(now) * this.getPassedPart(limit, peerDemand, now);
        return this.returns.book({ cost: 1, rate: passedPerSecond / 1000, excessMilliseconds: 0, now });
    }

    private getPassedPart(limit: number, peerDemand: number, now: number): number {
        const demand = this.getDemand(now) + peerDemand;
        return demand > limit ? limit / demand : 1;
    }
}
