/**
 * Reads a line that a node has logged as JSON. What stands before its first brace, such as a prefix of the collector, is passed over.
 * @returns Undefined where it is no such line: other programs may write to the same stream, and a line may be cut.
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
