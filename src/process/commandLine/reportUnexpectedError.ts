import type { CommandContext } from "./commandContext.ts";
import { ExitCode } from "./exitCode.ts";

/** Prints an error that no command expects and returns the exit code for it. */
export function reportUnexpectedError(error: unknown, context: Pick<CommandContext, "printError">): ExitCode {
    const details = error instanceof Error ? error.stack ?? error.message : String(error);
    context.printError(`Unexpected error. Please report it with the following details: ${details}`);
    return ExitCode.Unexpected;
}
