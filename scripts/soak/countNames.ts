/** Counts the occurrences of each name. */
export function countNames(names: Iterable<string>): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const name of names) {
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
}
