import type { RandomSource } from "../../process/randomSource.ts";
import { RetrySchedule } from "./retrySchedule.ts";
import { SmoothedRate } from "./smoothedRate.ts";

/** Options of a {@link SharedRate}. */
interface SharedRateOptions {
    /** Time constant of the moving average of the demand. */
    timeConstantMilliseconds: number;
    /** Source of the initial credit and of the jitter of the retry delays. */
    random: RandomSource;
    /** Monotonic time in milliseconds. */
    now: number;
}

/**
 * One node's share of a rate limit over all nodes, such as a customer's requests a second. Every arrival adds a credit of
 * limit / total demand, at most 1, and is admitted if the credit is at least 1. So a node's share follows its demand
 * immediately, and nodes that get one request in many seconds still admit the right number in total, unlike with a token
 * bucket per node.
 */
export class SharedRate {
    private readonly arrivals: SmoothedRate;
    private readonly retrySchedule: RetrySchedule;
    /** Credit in requests; starts at a random value so that the nodes don't all admit their first requests at the same time. */
    private credit: number;

    private constructor({ timeConstantMilliseconds, random, now }: SharedRateOptions) {
        this.arrivals = SmoothedRate.create(timeConstantMilliseconds, now);
        this.retrySchedule = RetrySchedule.create(random);
        this.credit = random();
    }

    /** Creates an instance without arrivals. */
    static create(options: SharedRateOptions): SharedRate {
        return new SharedRate(options);
    }

    /**
     * Gets the rate of arrivals at this node, in requests a second.
     * @param now - Monotonic time in milliseconds.
     */
    getDemand(now: number): number {
        return this.arrivals.getPerSecond(now);
    }

    /**
     * Counts an arrival.
     * @param limit - Limit over all nodes, in requests a second.
     * @param peerDemand - Rate of arrivals at the other nodes, in requests a second.
     * @param now - Monotonic time in milliseconds.
     * @returns Whether it is admitted.
     */
    take(limit: number, peerDemand: number, now: number): boolean {
        this.credit += this.getAdmittedFraction(limit, peerDemand, now);
        this.arrivals.observe(now);
        if (this.credit < 1) {
            return false;
        }
        this.credit -= 1;
        return true;
    }

    /** Refunds the credit of a request that was admitted and then refused for another reason. */
    refund(): void {
        this.credit = Math.min(1, this.credit + 1);
    }

    /**
     * Schedules the retry of a refused request and gets its delay in milliseconds.
     * @param limit - Limit over all nodes, in requests a second.
     * @param peerDemand - Rate of arrivals at the other nodes, in requests a second.
     * @param now - Monotonic time in milliseconds.
     */
    scheduleRetry(limit: number, peerDemand: number, now: number): number {
        const admittedPerSecond = this.getDemand(now) * this.getAdmittedFraction(limit, peerDemand, now);
        return this.retrySchedule.schedule({ cost: 1, rate: admittedPerSecond / 1000, baseDelayMilliseconds: 0, now });
    }

    private getAdmittedFraction(limit: number, peerDemand: number, now: number): number {
        const demand = this.getDemand(now) + peerDemand;
        return demand > limit ? limit / demand : 1;
    }
}
