/** Data that an endpoint sent before it crashed may still be read for this long, and does not prove that it is alive. */
const lateDataMilliseconds = 500;
/** Time after which a crash is forgotten. */
const maximumAgeMilliseconds = 600_000;

/**
 * Checks if a suspected crash no longer counts: the endpoint turned out to be alive, or it happened long ago.
 * @param at - Monotonic time in milliseconds at which the connection to the endpoint broke.
 * @param aliveAt - Monotonic time in milliseconds at which the endpoint was last seen alive; -Infinity if never.
 * @param now - Monotonic time in milliseconds.
 */
export function isCrashOutdated(at: number, aliveAt: number, now: number): boolean {
    return aliveAt > at + lateDataMilliseconds || now - at > maximumAgeMilliseconds;
}
