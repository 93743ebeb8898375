import { type ChildProcess as NodeChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Options of {@link ChildProcess}. */
interface ChildProcessOptions {
    name: string;
    command: string;
    options: readonly string[];
    /** Called for each line of output. */
    onLine?(line: string): void;
}

/** A child process whose output is read line by line. */
export class ChildProcess {
    readonly name: string;
    readonly exited: Promise<number | undefined>;
    private readonly child: NodeChildProcess;
    private readonly lines: string[] = [];
    private readonly listeners = new Set<(line: string) => void>();

    private constructor(options: ChildProcessOptions) {
        this.name = options.name;
        this.child = spawn(options.command, options.options, { stdio: ["ignore", "pipe", "pipe"] });
        this.exited = new Promise(resolve => this.child.once("exit", code => resolve(code ?? undefined)));
        for (const stream of [this.child.stdout!, this.child.stderr!]) {
            createInterface({ input: stream }).on("line", line => {
                this.lines.push(line);
                options.onLine?.(line);
                for (const listener of this.listeners) {
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

    /** Gets all lines of output. */
    getLines(): readonly string[] {
        return this.lines;
    }

    /** Waits for a line of output that matches a pattern, and returns the match. */
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
                        `${this.name} printed no line that matches ${pattern} within ${timeoutMilliseconds} ms:\n${
                            this.lines.slice(-20).join("\n")
                        }`,
                    ),
                );
            }, timeoutMilliseconds);
            const listener = (line: string) => {
                const match = pattern.exec(line);
                if (match !== null) {
                    clearTimeout(timer);
                    this.listeners.delete(listener);
                    resolve(match);
                }
            };
            this.listeners.add(listener);
        });
    }

    /** Sends a signal to the process. */
    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Stops the process with SIGTERM, or SIGKILL after the timeout, and returns its exit code. */
    async stop(timeoutMilliseconds = 15_000): Promise<number | undefined> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), timeoutMilliseconds);
        const code = await this.exited;
        clearTimeout(timer);
        return code;
    }
}
