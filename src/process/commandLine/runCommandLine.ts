import yargs, { type Argv, type CommandModule } from "yargs";
import type { CommandContext } from "./commandContext.ts";
import { createConfigurationCommand } from "./configuration/createConfigurationCommand.ts";
import { createNodeCommand } from "./createNodeCommand.ts";
import { createSettingsCommand } from "./createSettingsCommand.ts";
import { createStatusCommand } from "./createStatusCommand.ts";
import { createVersionCommand } from "./createVersionCommand.ts";
import { ExitCode } from "./exitCode.ts";
import { createExplainCommand } from "./explain/createExplainCommand.ts";
import { reportUnexpectedError } from "./reportUnexpectedError.ts";
import { UsageError } from "./usageError.ts";

const maximumHelpWidth = 110;

/** Creates a command that is defined outside of this folder. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any
type CreateCommand = (context: CommandContext) => CommandModule<object, any>;

/**
 * Parses the command line and runs its command.
 * @param commandArguments - Arguments after the program's name.
 * @param environment - Clock, output and confirmation of questions.
 * @param createCommands - Functions that create additional commands.
 */
export async function runCommandLine(
    commandArguments: string[],
    environment: Omit<CommandContext, "run">,
    createCommands: CreateCommand[] = [],
): Promise<ExitCode> {
    let exitCode: ExitCode = ExitCode.Success;
    const context: CommandContext = {
        ...environment,
        run: async command => {
            exitCode = await command();
        },
    };
    try {
        await createParser(context, createCommands).parseAsync(
            commandArguments[0] === "--version" ? ["version"] : commandArguments,
        );
    }
    catch (error) {
        return reportError(error, context);
    }
    return exitCode;
}

function createParser(context: CommandContext, createCommands: CreateCommand[]): Argv {
    const parser = yargs();
    for (const createCommand of createCommands) {
        parser.command(createCommand(context));
    }
    return parser
        .scriptName("foxlead")
        .usage("$0 <command>\n\nRouter between callers and endpoints.")
        .command(createNodeCommand(context))
        .command(createSettingsCommand(context))
        .command(createConfigurationCommand(context))
        .command(createStatusCommand(context))
        .command(createExplainCommand(context))
        .command(createVersionCommand(context))
        .completion("completion", "Print a completion script for bash or zsh.")
        .demandCommand(1, "Name a command.")
        .strict()
        .help()
        .version(false)
        .detectLocale(false)
        .exitProcess(false)
        .wrap(Math.min(maximumHelpWidth, parser.terminalWidth()))
        .epilogue(
            "Exit codes: 0 success, 1 usage, 2 missing or invalid file, 3 another edit came first, "
                + "4 platform or node unreachable, 5 not in force everywhere in time, 70 unexpected error.",
        )
        .fail((message: string | undefined, error: Error | undefined) => {
            throw error ?? new UsageError(message ?? "The command line is invalid.");
        });
}

function reportError(error: unknown, context: CommandContext): ExitCode {
    const isUsage = error instanceof UsageError || (error instanceof Error && error.name === "YError");
    if (isUsage) {
        context.printError(`${error.message}\nSee foxlead --help, or foxlead COMMAND --help.`);
        return ExitCode.Usage;
    }
    return reportUnexpectedError(error, context);
}
