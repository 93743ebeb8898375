/**
 * Gets a quantile by the nearest rank: the least value that is at least as large as the given fraction of all values.
 * @param sorted - The values, in ascending order; at least one.
 * @param fraction - Over 0 and up to 1.
 */
export function getQuantile(sorted: readonly number[], fraction: number): number {
    return sorted[Math.ceil(sorted.length * fraction) - 1]!;
}
