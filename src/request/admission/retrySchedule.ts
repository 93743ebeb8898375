import type { RandomSource } from "../../process/randomSource.ts";

/** Maximum time over which retries are spread. */
const maximumSpreadMilliseconds = 30_000;

/** Time over which retries are spread while the drain rate is unknown. */
const defaultSpreadMilliseconds = 1_000;

/** Minimum retry delay. */
const minimumRetryMilliseconds = 100;

/** A refused request whose retry is scheduled. */
interface RetryOptions {
    /** Cost of the refused request, in tokens; 1 if the limit counts requests. */
    cost: number;
    /** Drain rate, in cost a millisecond; undefined if unknown. */
    rate: number | undefined;
    /** Time to add to the retry delay. */
    baseDelayMilliseconds: number;
    /** Monotonic time in milliseconds. */
    now: number;
}

/**
 * Calculates the retry delays of refused requests. Each retry is scheduled after the ones scheduled before it, so that
 * retries arrive at about the drain rate of the queue, with jitter.
 */
export class RetrySchedule {
    private scheduledCost = 0;
    private updatedAt = 0;
    private readonly random: RandomSource;

    private constructor(random: RandomSource) {
        this.random = random;
    }

    /**
     * Creates an empty schedule.
     * @param random - Source of the jitter.
     */
    static create(random: RandomSource): RetrySchedule {
        return new RetrySchedule(random);
    }

    /**
     * Schedules a retry.
     * @returns The retry delay in milliseconds.
     */
    schedule(options: RetryOptions): number {
        const jitter = 0.75 + 0.5 * this.random();
        const { cost, rate, baseDelayMilliseconds, now } = options;
        if (rate === undefined || rate <= 0) {
            return minimumRetryMilliseconds + baseDelayMilliseconds + jitter * defaultSpreadMilliseconds;
        }
        const drainedCost = (now - this.updatedAt) * rate;
        this.updatedAt = now;
        const maximumCost = maximumSpreadMilliseconds * rate;
        this.scheduledCost = Math.min(maximumCost, Math.max(0, this.scheduledCost - drainedCost) + cost);
        return minimumRetryMilliseconds + baseDelayMilliseconds + jitter * this.scheduledCost / rate;
    }
}
