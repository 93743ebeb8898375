/**
 * Gets a value after exponential decay.
 * @param value - Initial value.
 * @param milliseconds - Elapsed time.
 * @param halfLifeMilliseconds - Time in which the value halves.
 */
export function decay(value: number, milliseconds: number, halfLifeMilliseconds: number): number {
    return value * 2 ** (-milliseconds / halfLifeMilliseconds);
}
