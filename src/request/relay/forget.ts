/**
 * Gets what is left of a value that halves with time.
 * @param value - The value at first.
 * @param milliseconds - Time since.
 * @param halfLifeMilliseconds - Time in which it halves.
 */
export function forget(value: number, milliseconds: number, halfLifeMilliseconds: number): number {
    return value * 2 ** (-milliseconds / halfLifeMilliseconds);
}
