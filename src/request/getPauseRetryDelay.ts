import type { RandomSource } from "../process/randomSource.ts";

/** Time over which the callers that were refused during a pause return after it. */
const returnSpreadMilliseconds = 500;

/**
 * Gets the retry delay of a request that only the pauses of endpoints keep from starting, in milliseconds. Callers return at
 * different times, so that the endpoint isn't overloaded again as soon as its pause ends.
 * @param remainingMilliseconds - Time until the pause ends.
 * @param random - Source of the jitter.
 */
export function getPauseRetryDelay(remainingMilliseconds: number, random: RandomSource): number {
    return remainingMilliseconds + returnSpreadMilliseconds * random();
}
