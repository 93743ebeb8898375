/** Formats counts in one line, sorted by name. */
export function formatCounts(counts: Record<string, number>): string {
    const entries = Object.entries(counts).sort(([left], [right]) => left < right ? -1 : 1);
    return entries.map(([name, count]) => `${name} ${count}`).join(", ");
}
