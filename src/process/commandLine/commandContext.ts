import type { Clock } from "../clock.ts";
import type { ExitCode } from "./exitCode.ts";

/** Environment of the commands of the command line. */
export interface CommandContext {
    clock: Clock;
    /** Writes a line of output to standard output. */
    print(line: string): void;
    /** Writes a line about an error or about progress to standard error. */
    printError(line: string): void;
    /** Asks a yes-or-no question. Undefined if the process has no terminal. */
    confirm?(question: string): Promise<boolean>;
    /** Runs a command and records its exit code. */
    run(command: () => Promise<ExitCode>): Promise<void>;
}
