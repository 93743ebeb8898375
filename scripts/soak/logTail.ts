/** One line of output of a process. */
interface LogLine {
    at: number;
    name: string;
    line: string;
}

const maximumLines = 200_000;
const maximumShown = 30;
/** Maximum of lines per process and event number. */
const maximumShownPerKind = 3;
const eventPattern = /FL\d{4}/;

/** The most recent output of the processes, with wall-clock times in milliseconds. */
export class LogTail {
    private lines: LogLine[] = [];

    private constructor() {}

    /** Creates an empty log. */
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
     * Gets the lines of some processes in a time span, limited to the first few of each event.
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
            if (count <= maximumShownPerKind) {
                found.push(`${new Date(at).toISOString().slice(11, 23)} ${name}: ${shorten(line)}`);
            }
        }
        return found.length <= maximumShown ? found : [...found.slice(0, maximumShown), `(${found.length} lines)`];
    }
}

/** Removes the fields that the prefix of the printed line repeats. */
function shorten(line: string): string {
    return line.replace(/^\{"time":"[^"]*",/, "{").replace(/"vm":"[^"]*",?/, "");
}
