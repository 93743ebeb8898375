import type { RandomSource } from "../process/randomSource.ts";

/** Bounds of a delay between retries. */
interface RetryDelayOptions {
    /** Delay before the first retry, in milliseconds, before jitter. */
    firstMilliseconds: number;
    /** Longest delay, in milliseconds. */
    maximumMilliseconds: number;
}

/**
 * Works out an exponential backoff with jitter: between a half and the whole of the doubled delay.
 * @param failures - Failures in a row, from 1.
 * @param options - Bounds of the delay.
 * @param random - Source of the jitter, so that nodes do not return together.
 * @returns The delay in milliseconds.
 */
export function retryDelay(failures: number, options: RetryDelayOptions, random: RandomSource): number {
    const doubled = options.firstMilliseconds * 2 ** Math.min(failures - 1, 30);
    return Math.min(doubled, options.maximumMilliseconds) * (0.5 + random() / 2);
}
