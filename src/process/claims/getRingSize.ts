import { claimTimes } from "./claimTimes.ts";

/** Share of slots beyond the need, for timers that run early and for two owners at the same time. */
const slack = 1.1;
const minimumSpareSlots = 16;

/**
 * Gets the number of slots that a shard needs so that each slot's claims are past the window
 * when its turn to be overwritten comes.
 * @param windowMilliseconds - How long a key counts after its issue time.
 * @param appendIntervalMilliseconds - Shortest time between two appends of one owner.
 */
export function getRingSize(windowMilliseconds: number, appendIntervalMilliseconds: number): number {
    const keptFor = windowMilliseconds + claimTimes.futureToleranceMilliseconds + claimTimes.clockMarginMilliseconds;
    return Math.ceil(keptFor / appendIntervalMilliseconds * slack) + minimumSpareSlots;
}
