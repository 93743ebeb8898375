/**
 * Formats rows as a table with aligned columns.
 * @param rows - Heading and rows, all with the same number of cells.
 */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
    const widths: number[] = [];
    for (const row of rows) {
        for (const [column, cell] of row.entries()) {
            widths[column] = Math.max(widths[column] ?? 0, cell.length);
        }
    }
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}
