import type { RandomSource } from "../../process/randomSource.ts";

/** Longest time over which refused callers are spread, in milliseconds. */
const maximumHorizonMilliseconds = 30_000;

/** Spread where the drain rate is not known yet, in milliseconds. */
const defaultHorizonMilliseconds = 1_000;

/** Shortest time until a return, in milliseconds. */
const minimumReturnMilliseconds = 100;

/** What a return is booked for. */
interface ReturnOptions {
    /** Work of the refused request, in tokens; 1 where requests are counted. */
    cost: number;
    /** Cost that drains in a millisecond; undefined where not known. */
    rate: number | undefined;
    /** Time that is added to the return, in milliseconds. */
    excessMilliseconds: number;
    /** Monotonic time in milliseconds. */
    now: number;
}

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

    /**
     * Creates a schedule without bookings.
     * @param random - Source of the spread of the returns.
     */
    static create(random: RandomSource): ReturnSchedule {
        return new ReturnSchedule(random);
    }

    /**
     * Books a return.
     * @param options - The refused work, and how fast the queue drains.
     * @returns Time until the return, in milliseconds.
     */
    book(options: ReturnOptions): number {
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
