/**
 * Parses a line that a node has logged as JSON. Text before the first brace, such as a prefix of a log collector, is
 * ignored.
 * @returns The fields, or undefined if the line is not valid: other programs may write to the same stream, and a line may
 * be truncated.
 */
export function readEventLine(line: string): Readonly<Record<string, unknown>> | undefined {
    const start = line.indexOf("{");
    if (start === -1) {
        return undefined;
    }
    try {
        return JSON.parse(line.slice(start)) as Record<string, unknown>;
    }
    catch {
        return undefined;
    }
}
