/** Formats the link from one data centre to another as a key. */
export function formatDataCentreLink(from: string, to: string): string {
    return `${from}>${to}`;
}
