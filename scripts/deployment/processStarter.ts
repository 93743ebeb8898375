import { ChildProcess } from "./childProcess.ts";

/** Options of {@link ProcessStarter}. */
interface ProcessStarterOptions {
    /** Whether foxlead runs from the built executable instead of the sources. */
    isBuilt: boolean;
    /** Command and leading arguments that run foxlead; overrides `isBuilt`. */
    foxlead?: readonly string[];
    /** Modules that are loaded into foxlead before the program, if it runs from the sources. */
    preloaded?: readonly string[];
    /** Called for each line of output of a process. */
    onLine?(name: string, line: string): void;
}

/** Starts the processes of a deployment and tracks those that are running. */
export class ProcessStarter {
    private readonly options: ProcessStarterOptions;
    private readonly running = new Set<ChildProcess>();

    private constructor(options: ProcessStarterOptions) {
        this.options = options;
    }

    /** Creates a starter without processes. */
    static create(options: ProcessStarterOptions): ProcessStarter {
        return new ProcessStarter(options);
    }

    /**
     * Starts a foxlead process.
     * @param name - Name of the process, passed to `onLine`.
     * @param options - Command-line arguments.
     */
    startFoxlead(name: string, options: readonly string[]): ChildProcess {
        const [command, ...leadingArguments] = this.options.foxlead ?? [];
        if (command !== undefined) {
            return this.start(name, command, [...leadingArguments, ...options]);
        }
        return this.options.isBuilt
            ? this.start(name, "dist/foxlead", options)
            : this.startSource(name, "src/main.ts", options, this.options.preloaded);
    }

    /**
     * Starts a source file with the current version of Node.js.
     * @param name - Name of the process, passed to `onLine`.
     * @param file - Path relative to the root of the repository.
     * @param options - Command-line arguments.
     * @param preloaded - Modules that are loaded before it, as paths relative to the root of the repository.
     */
    startSource(
        name: string,
        file: string,
        options: readonly string[],
        preloaded: readonly string[] = [],
    ): ChildProcess {
        const imports = preloaded.map(module => `--import=./${module}`);
        const flags = ["--disable-warning=ExperimentalWarning", ...imports];
        return this.start(name, process.execPath, [...flags, file, ...options]);
    }

    /** Kills all running processes, including frozen ones, and waits until they have exited. */
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
