import { SmoothedRate } from "../smoothedRate.ts";

const secondMilliseconds = 1_000;

/** Tracks the rates at which new requests arrive, by rank. Times are monotonic, in milliseconds. */
export class OnTimeArrivals {
    private readonly byRank = new Map<number, SmoothedRate>();
    private readonly timeConstantMilliseconds: number;

    private constructor(timeConstantMilliseconds: number) {
        this.timeConstantMilliseconds = timeConstantMilliseconds;
    }

    /**
     * Creates an instance without arrivals.
     * @param timeConstantMilliseconds - Time after which the contribution of a request has decayed to 1/e.
     */
    static create(timeConstantMilliseconds: number): OnTimeArrivals {
        return new OnTimeArrivals(timeConstantMilliseconds);
    }

    /** Records a request of a rank with its cost in tokens. */
    observe(rank: number, cost: number, now: number): void {
        const rate = this.byRank.get(rank) ?? SmoothedRate.create(this.timeConstantMilliseconds, now);
        this.byRank.set(rank, rate);
        rate.observe(now, cost);
    }

    /**
     * Gets the rate of new requests, in tokens a millisecond.
     * @param now - Monotonic time in milliseconds.
     * @param lowestRank - Requests of lower ranks, which have larger numbers, don't count.
     */
    getRate(now: number, lowestRank = Infinity): number {
        return this.getPerSecond(now, lowestRank) / secondMilliseconds;
    }

    /** Gets the rate of new requests of all ranks, in tokens a second. */
    getPerSecond(now: number, lowestRank = Infinity): number {
        let perSecond = 0;
        for (const [rank, rate] of this.byRank) {
            perSecond += rank <= lowestRank ? rate.getPerSecond(now) : 0;
        }
        return perSecond;
    }
}
