/** Logged value for a request of which no byte was sent. */
const unsentMilliseconds = -1;

/**
 * Gets the time from the arrival of a request until its first byte was sent to an endpoint, for the log; -1 if none was sent.
 * @param sentAt - Monotonic time at which the first byte was sent, in milliseconds.
 * @param arrivedAt - Monotonic time at which the request arrived, in milliseconds.
 */
export function getSentMilliseconds(sentAt: number | undefined, arrivedAt: number): number {
    return sentAt === undefined ? unsentMilliseconds : Math.round(sentAt - arrivedAt);
}
