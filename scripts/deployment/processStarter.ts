import { ChildProcess } from "./childProcess.ts";

/** Options of a {@link ProcessStarter}. */
interface ProcessStarterOptions {
    /** Whether foxlead runs from the built executable or from the sources. */
    isBuilt: boolean;
    /** Command that runs foxlead, with its first options, in place of these two. */
    foxlead?: readonly string[];
    /** Called for each line that a process writes. */
    onLine?(name: string, line: string): void;
}

/** Starts the processes of a deployment and knows those that still run. */
export class ProcessStarter {
    private readonly options: ProcessStarterOptions;
    private readonly running = new Set<ChildProcess>();

    private constructor(options: ProcessStarterOptions) {
        this.options = options;
    }

    /** Creates a starter that has started nothing. */
    static create(options: ProcessStarterOptions): ProcessStarter {
        return new ProcessStarter(options);
    }

    /**
     * Starts foxlead, built or from its sources.
     * @param name - Name of the process in the lines that it writes.
     * @param options - Its command-line options.
     */
    startFoxlead(name: string, options: readonly string[]): ChildProcess {
        const [command, ...first] = this.options.foxlead ?? [];
        if (command !== undefined) {
            return this.start(name, command, [...first, ...options]);
        }
        return this.options.isBuilt
            ? this.start(name, "dist/foxlead", options)
            : this.startSource(name, "src/main.ts", options);
    }

    /**
     * Starts a source file by this version of Node.js.
     * @param name - Name of the process in the lines that it writes.
     * @param file - Path from the root of the repository.
     * @param options - Its command-line options.
     */
    startSource(name: string, file: string, options: readonly string[]): ChildProcess {
        return this.start(name, process.execPath, ["--disable-warning=ExperimentalWarning", file, ...options]);
    }

    /** Kills every process that still runs, also frozen ones, and waits until they have ended. */
    async killAll(): Promise<void> {
        const killed = [...this.running].map(child => {
            child.signal("SIGKILL");
            return child.exited;
        });
        await Promise.all(killed);
    }

    private start(name: string, command: string, options: readonly string[]): ChildProcess {
        const { onLine } = this.options;
        const child = ChildProcess.create({ name, command, options, onLine: line => onLine?.(name, line) });
        this.running.add(child);
        void child.exited.then(() => this.running.delete(child));
        return child;
    }
}
