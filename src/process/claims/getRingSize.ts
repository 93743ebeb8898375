import { claimTimes } from "./claimTimes.ts";

/** Factor that adds spare slots, for timers that fire early and for two owners at the same time. */
const sizeFactor = 1.1;
const minimumSpareSlots = 16;

/**
 * Gets the number of slots that a shard needs so that a slot's claims have expired when the slot is overwritten.
 * @param windowMilliseconds - How long a key is valid after its issue time.
 * @param appendIntervalMilliseconds - Shortest time between two appends of one owner.
 */
export function getRingSize(windowMilliseconds: number, appendIntervalMilliseconds: number): number {
    const retentionMilliseconds = windowMilliseconds + claimTimes.futureToleranceMilliseconds
        + claimTimes.clockMarginMilliseconds;
    return Math.ceil(retentionMilliseconds / appendIntervalMilliseconds * sizeFactor) + minimumSpareSlots;
}
