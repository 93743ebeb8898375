import { type ChildProcess as NodeChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Options of a {@link ChildProcess}. */
interface ChildProcessOptions {
    name: string;
    command: string;
    options: readonly string[];
    /** Takes each line of output. */
    onLine?(line: string): void;
}

/** A process that this script has started, with its output by lines. */
export class ChildProcess {
    readonly name: string;
    readonly exited: Promise<number | undefined>;
    private readonly child: NodeChildProcess;
    private readonly lines: string[] = [];
    private readonly waiting = new Set<(line: string) => void>();

    private constructor(options: ChildProcessOptions) {
        this.name = options.name;
        this.child = spawn(options.command, options.options, { stdio: ["ignore", "pipe", "pipe"] });
        this.exited = new Promise(resolve => this.child.once("exit", code => resolve(code ?? undefined)));
        for (const stream of [this.child.stdout!, this.child.stderr!]) {
            createInterface({ input: stream }).on("line", line => {
                this.lines.push(line);
                options.onLine?.(line);
                for (const listener of this.waiting) {
                    listener(line);
                }
            });
        }
    }

    /** Starts a process. */
    static create(options: ChildProcessOptions): ChildProcess {
        return new ChildProcess(options);
    }

    /** Gets the id of the process. */
    getProcessId(): number {
        return this.child.pid!;
    }

    /** All lines that the process has written. */
    getLines(): readonly string[] {
        return this.lines;
    }

    /** Waits for a line that matches, and returns the match. */
    async waitForLine(pattern: RegExp, timeoutMilliseconds = 15_000): Promise<RegExpExecArray> {
        for (const line of this.lines) {
            const match = pattern.exec(line);
            if (match !== null) {
                return match;
            }
        }
        return await new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                reject(
                    new Error(
                        `${this.name} wrote no line like ${pattern} in ${timeoutMilliseconds} ms:\n${
                            this.lines.slice(-20).join("\n")
                        }`,
                    ),
                );
            }, timeoutMilliseconds);
            const listener = (line: string) => {
                const match = pattern.exec(line);
                if (match !== null) {
                    clearTimeout(timer);
                    this.waiting.delete(listener);
                    resolve(match);
                }
            };
            this.waiting.add(listener);
        });
    }

    /** Sends a signal to this process, by its id. */
    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Asks the process to end and waits for its exit code; kills it after the deadline. */
    async stop(timeoutMilliseconds = 15_000): Promise<number | undefined> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), timeoutMilliseconds);
        const code = await this.exited;
        clearTimeout(timer);
        return code;
    }
}
