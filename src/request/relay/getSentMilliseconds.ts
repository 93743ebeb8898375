/** In the log, of a request of which no byte has left. */
const unsentMilliseconds = -1;

/**
 * Gets how long after a request was taken up its first byte left for an endpoint, for the log; -1 where none has.
 * @param sentAt - Monotonic time at which it left, in milliseconds.
 * @param arrivedAt - Monotonic time at which the request was taken up, in milliseconds.
 */
export function getSentMilliseconds(sentAt: number | undefined, arrivedAt: number): number {
    return sentAt === undefined ? unsentMilliseconds : Math.round(sentAt - arrivedAt);
}
