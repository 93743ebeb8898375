import type { MeasuredHolder } from "./measuredHolder.ts";

/** Less than this is not worth a broken connection. */
const minimumReleasableBytes = 4 * 1024;

/**
 * Chooses which parties give way when a process holds too much. Those with the most releasable bytes for the longest time give way first:
 * a body or an answer that moves is soon gone, whatever its size, and one that stands still is the older, the less likely it moves again.
 * @param holders - All parties.
 * @param excessBytes - How much must be released at least.
 * @param now - The current monotonic time, in milliseconds.
 * @returns The parties that give way. They hold less than the excess together if there is no more to release.
 */
export function chooseHoldersToRelease(
    holders: readonly MeasuredHolder[],
    excessBytes: number,
    now: number,
): MeasuredHolder[] {
    const candidates = holders.filter(({ amount }) => amount.releasableBytes >= minimumReleasableBytes);
    candidates.sort((first, second) => getWeight(second, now) - getWeight(first, now));
    const chosen: MeasuredHolder[] = [];
    let releasedBytes = 0;
    for (const candidate of candidates) {
        if (releasedBytes >= excessBytes) {
            break;
        }
        chosen.push(candidate);
        releasedBytes += candidate.amount.releasableBytes;
    }
    return chosen;
}

/** Gets the releasable bytes times the time for which they have been held. */
function getWeight({ amount: { releasableBytes, heldSince } }: MeasuredHolder, now: number): number {
    return releasableBytes * Math.max(1, now - heldSince);
}
