import type { Clock } from "../clock.ts";
import type { ExitCode } from "./exitCode.ts";

/** What the verbs of the command line work with. */
export interface CommandContext {
    clock: Clock;
    /** Writes a line of the answer to standard output. */
    print(line: string): void;
    /** Writes a line about an error, or about progress, to standard error. */
    printError(line: string): void;
    /** Asks a yes-or-no question; undefined where no one is there to answer. */
    confirm?(question: string): Promise<boolean>;
    /** Runs a verb and keeps its exit code. */
    run(verb: () => Promise<ExitCode>): Promise<void>;
}
