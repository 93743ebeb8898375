/** Formats rows as a Markdown table with columns of even width. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const all = [head, ...rows];
    const widths = head.map((_, column) => Math.max(...all.map(row => (row[column] ?? "").length)));
    const lines = all.map(row => `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")} |`);
    lines.splice(1, 0, `| ${widths.map(width => "-".repeat(width)).join(" | ")} |`);
    return lines.join("\n");
}
