/** Less than systems buffer for a connection whose caller doesn't read. */
const maximumBytes = 64 * 1024;

/**
 * Checks if an answer goes out at once, however slowly its caller reads, so that the close of the connection can follow it before another
 * request is received. A larger answer doesn't announce the close: requests that cross it would get no answer.
 * @param bytes - Size of the body, in bytes.
 */
export function isSentAtOnce(bytes: number): boolean {
    return bytes <= maximumBytes;
}
