import type { RandomSource } from "../../process/randomSource.ts";
import { ReturnSchedule } from "./returnSchedule.ts";
import { SmoothedRate } from "./smoothedRate.ts";
import { TokenBucket } from "./tokenBucket.ts";

/** Time after which an arrival counts for 1/e, in milliseconds. */
const memoryMilliseconds = 2_000;

/** Time that a demand takes to reach the other nodes, in milliseconds. */
const lagMilliseconds = 500;

/** Length of the burst that a full bucket lets through, in seconds of the node's share. */
const burstSeconds = 1;

/** One customer's arrivals at this node and its share of the customer's limit. */
export class LimitedCustomer {
    private readonly arrivals: SmoothedRate;
    private readonly bucket: TokenBucket;
    private readonly returns: ReturnSchedule;
    private demandInForce = 0;
    private sampledDemand = 0;
    private sampledAt: number;
    private share = 0;

    private constructor(balance: number, random: RandomSource, now: number) {
        this.arrivals = SmoothedRate.create(memoryMilliseconds, now);
        this.bucket = TokenBucket.create(balance, now);
        this.returns = ReturnSchedule.create(random);
        this.sampledAt = now;
    }

    /**
     * @param balance - Requests that may pass at once.
     * @param random - Source of the spread of returns.
     * @param now - Monotonic time in milliseconds.
     */
    static create(balance: number, random: RandomSource, now: number): LimitedCustomer {
        return new LimitedCustomer(balance, random, now);
    }

    /** Demand by which the share goes: as old as what the peers know, so that all the shares add up. */
    get demand(): number {
        return this.demandInForce;
    }

    /** Arrivals a second now. */
    getArrivals(now: number): number {
        return this.arrivals.getPerSecond(now);
    }

    /** Takes a sample of the demand for the other nodes; this node goes by it once they have it too. */
    sampleDemand(now: number): number {
        const arrivals = this.arrivals.getPerSecond(now);
        if (now - this.sampledAt >= lagMilliseconds) {
            this.demandInForce = this.sampledDemand;
            this.sampledDemand = arrivals;
            this.sampledAt = now;
        }
        return arrivals;
    }

    /** Sets this node's share of the limit, in requests a second. */
    setShare(share: number, now: number): void {
        this.share = share;
        this.bucket.setRate(share, Math.max(1, share * burstSeconds), now);
    }

    /** Counts an arrival and takes its place in the share; returns whether there was one. */
    take(now: number): boolean {
        this.arrivals.observe(now);
        return this.bucket.take(now);
    }

    /** Gives back the place of a request that was then refused for another reason. */
    giveBack(): void {
        this.bucket.giveBack();
    }

    /** Gets when a refused caller should come back, in milliseconds from now. */
    bookReturn(now: number): number {
        const excessMilliseconds = Math.min(this.bucket.getMillisecondsToToken(now), 60_000);
        return this.returns.book({ cost: 1, rate: this.share / 1000, excessMilliseconds, now });
    }
}
