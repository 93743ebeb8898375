/** Formats the link from one data centre to another as a key. */
export function formatCrossing(from: string, to: string): string {
    return `${from}>${to}`;
}
