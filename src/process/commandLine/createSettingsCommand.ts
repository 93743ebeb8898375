import type { CommandModule } from "yargs";
import type { CommandContext } from "./commandContext.ts";
import { ExitCode } from "./exitCode.ts";

/** Creates the command `settings` with its subcommands. */
export function createSettingsCommand(context: CommandContext): CommandModule {
    const check: CommandModule<object, { file: string; }> = {
        command: "check <file>",
        describe: "Check a node's settings and the files that they refer to.",
        builder: parser =>
            parser
                .positional("file", { type: "string", demandOption: true, describe: "Settings file." })
                .example("$0 settings check node.settings.jsonc", "List every error with its line and column."),
        handler: ({ file }) =>
            context.run(async () => {
                const { loadSettings } = await import("./loadSettings.ts");
                const settings = loadSettings(file, context);
                if (settings === undefined) {
                    return ExitCode.InvalidFile;
                }
                context.print(`${file} is correct; it configures the node ${settings.vm}.`);
                return ExitCode.Success;
            }),
    };
    return {
        command: "settings",
        describe: "Check a node's settings.",
        builder: parser => parser.command(check).demandCommand(1, "Specify a subcommand."),
        handler: () => undefined,
    };
}
