import type { RandomSource } from "../../process/randomSource.ts";
import { ReturnSchedule } from "./returnSchedule.ts";
import { SmoothedRate } from "./smoothedRate.ts";

/** Requests at the limit over which a demand is measured at least, so that chance refuses few within the limit. */
const minimumMeasuredRequests = 20;

/** Requests at the limit that are enough to measure a demand; more would only make it slower. */
const enoughMeasuredRequests = 100;

/** Time over which a demand is measured where the limit allows 20 to 100 requests in it, in milliseconds. */
const usualMemoryMilliseconds = 2_000;

/** Shortest time over which a demand is measured, in milliseconds: about the interval of gossip. */
const minimumMemoryMilliseconds = 250;

/**
 * One customer's requests at one node. Every arrival earns the part of a request that the limit leaves of the
 * whole demand, and passes once a whole one is there. So a node's share follows its demand at once, and nodes that
 * see one request in many seconds still pass the right number together, which a token bucket a node does not.
 */
export class LimitedCustomer {
    /** Limit over all nodes, in requests a second, for which the demand is measured. */
    readonly limit: number;
    private readonly arrivals: SmoothedRate;
    private readonly returns: ReturnSchedule;
    /** Part of a request that is earned; starts at random so that the nodes do not pass their first ones together. */
    private credit: number;

    private constructor(limit: number, random: RandomSource, now: number) {
        this.limit = limit;
        this.arrivals = SmoothedRate.create(getMemoryMilliseconds(limit), now);
        this.returns = ReturnSchedule.create(random);
        this.credit = random();
    }

    /**
     * @param limit - Limit over all nodes, in requests a second.
     * @param random - Source of the first credit and of the spread of returns.
     * @param now - Monotonic time in milliseconds.
     */
    static create(limit: number, random: RandomSource, now: number): LimitedCustomer {
        return new LimitedCustomer(limit, random, now);
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
     * @param peerDemand - Arrivals at the other nodes, in requests a second.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether it passes.
     */
    take(peerDemand: number, now: number): boolean {
        this.credit += this.getPassedPart(peerDemand, now);
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
     * @param peerDemand - Arrivals at the other nodes, in requests a second.
     * @param now - Monotonic time in milliseconds.
     */
    bookReturn(peerDemand: number, now: number): number {
        const passedPerSecond = this.getDemand(now) * this.getPassedPart(peerDemand, now);
        return this.returns.book({ cost: 1, rate: passedPerSecond / 1000, excessMilliseconds: 0, now });
    }

    private getPassedPart(peerDemand: number, now: number): number {
        const demand = this.getDemand(now) + peerDemand;
        return demand > this.limit ? this.limit / demand : 1;
    }
}

function getMemoryMilliseconds(limit: number): number {
    const least = Math.max(minimumMemoryMilliseconds, minimumMeasuredRequests * 1000 / limit);
    const enough = enoughMeasuredRequests * 1000 / limit;
    return Math.max(least, Math.min(usualMemoryMilliseconds, enough));
}
