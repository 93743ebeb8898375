/** One line of a process. */
interface LogLine {
    at: number;
    name: string;
    line: string;
}

const maximumLines = 200_000;
const maximumShown = 30;
/** Lines of one process with the same event number. */
const maximumShownOfKind = 3;
const eventPattern = /FL\d{4}/;

/** The lines that the processes have written, with their wall-clock times in milliseconds. */
export class LogTail {
    private lines: LogLine[] = [];

    private constructor() {}

    /** Creates an empty tail. */
    static create(): LogTail {
        return new LogTail();
    }

    /** Adds a line of a process. */
    add(name: string, line: string): void {
        this.lines.push({ at: Date.now(), name, line });
        if (this.lines.length > maximumLines) {
            this.lines = this.lines.slice(maximumLines / 2);
        }
    }

    /**
     * Gets the lines of some processes around a time; of each event, only the first few.
     * @param names - Prefixes of the names of the processes.
     * @param from - Wall-clock time of the first line, in milliseconds.
     * @param to - Wall-clock time of the last line, in milliseconds.
     */
    getAround(names: readonly string[], from: number, to: number): string[] {
        const found: string[] = [];
        const counts = new Map<string, number>();
        for (const { at, name, line } of this.lines) {
            if (at < from || at > to || !names.some(prefix => name.startsWith(prefix))) {
                continue;
            }
            const kind = `${name} ${eventPattern.exec(line)?.[0] ?? ""}`;
            const count = (counts.get(kind) ?? 0) + 1;
            counts.set(kind, count);
            if (count <= maximumShownOfKind) {
                found.push(`${new Date(at).toISOString().slice(11, 23)} ${name}: ${shorten(line)}`);
            }
        }
        return found.length <= maximumShown ? found : [...found.slice(0, maximumShown), `(${found.length} lines)`];
    }
}

/** Leaves out what stands in the line's head already. */
function shorten(line: string): string {
    return line.replace(/^\{"time":"[^"]*",/, "{").replace(/"vm":"[^"]*",?/, "");
}
