/** Gets a quantile of some values, or 0 if there are none. */
export function getQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}
