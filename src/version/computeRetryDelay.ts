import type { RandomSource } from "../process/randomSource.ts";

/** Limits of the delay between retries. */
interface RetryDelayOptions {
    /** Delay before the first retry, in milliseconds, before jitter. */
    firstMilliseconds: number;
    /** Maximum delay, in milliseconds. */
    maximumMilliseconds: number;
}

/**
 * Computes an exponential backoff with jitter, between 50% and 100% of the doubled delay.
 * @param failures - Number of consecutive failures, at least 1.
 * @param options - Limits of the delay.
 * @param random - Source of the jitter, which keeps nodes from retrying simultaneously.
 * @returns The delay in milliseconds.
 */
export function computeRetryDelay(failures: number, options: RetryDelayOptions, random: RandomSource): number {
    const doubledMilliseconds = options.firstMilliseconds * 2 ** Math.min(failures - 1, 30);
    return Math.min(doubledMilliseconds, options.maximumMilliseconds) * (0.5 + random() / 2);
}
