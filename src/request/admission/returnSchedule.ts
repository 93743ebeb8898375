import type { RandomSource } from "../../process/randomSource.ts";

/** Longest time over which refused callers are spread, in milliseconds. */
const maximumHorizonMilliseconds = 30_000;

/** Spread where the drain rate is not known yet, in milliseconds. */
const defaultHorizonMilliseconds = 1_000;

/** Nobody is told to come back sooner, in milliseconds. */
const minimumReturnMilliseconds = 100;

/**
 * Tells refused callers when to come back: each one books its work behind the ones refused before it, so that they
 * return at about the rate at which the queue drains, and at random around that time.
 */
export class ReturnSchedule {
    private bookedCost = 0;
    private updatedAt = 0;
    private readonly random: RandomSource;

    private constructor(random: RandomSource) {
        this.random = random;
    }

    static create(random: RandomSource): ReturnSchedule {
        return new ReturnSchedule(random);
    }

    /**
     * Books a return.
     * @param options - What was refused, and the rate in cost a millisecond; undefined where not known.
     * @returns Time until the return, in milliseconds.
     */
    book(options: { cost: number; rate: number | undefined; excessMilliseconds: number; now: number; }): number {
        const jitter = 0.75 + 0.5 * this.random();
        const { cost, rate, excessMilliseconds, now } = options;
        if (rate === undefined || rate <= 0) {
            return minimumReturnMilliseconds + excessMilliseconds + jitter * defaultHorizonMilliseconds;
        }
        const drained = (now - this.updatedAt) * rate;
        this.updatedAt = now;
        const maximumCost = maximumHorizonMilliseconds * rate;
        this.bookedCost = Math.min(maximumCost, Math.max(0, this.bookedCost - drained) + cost);
        return minimumReturnMilliseconds + excessMilliseconds + jitter * this.bookedCost / rate;
    }
}
