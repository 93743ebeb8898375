/** Factor by which a successor waits longer, because clocks run at different speeds. */
const driftFactor = 1.01;

/**
 * Gets the time in milliseconds after which no order of a holder is in flight any more, counted from when its last write was seen.
 * @param timeToLiveMilliseconds - Time to live of the holder's lease; 0 if it was released.
 * @param longestOrderMilliseconds - Maximum time from sending an order to its completion.
 */
export function getSuccessorWait(timeToLiveMilliseconds: number, longestOrderMilliseconds: number): number {
    return (timeToLiveMilliseconds + longestOrderMilliseconds) * driftFactor;
}
