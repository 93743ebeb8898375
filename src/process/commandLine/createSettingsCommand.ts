import type { CommandModule } from "yargs";
import type { CommandContext } from "./commandContext.ts";
import { ExitCode } from "./exitCode.ts";

/** Creates the verbs about settings. */
export function createSettingsCommand(context: CommandContext): CommandModule {
    const check: CommandModule<object, { file: string; }> = {
        command: "check <file>",
        describe: "Check a node's settings and the files that they name.",
        builder: parser =>
            parser
                .positional("file", { type: "string", demandOption: true, describe: "File of the settings." })
                .example("$0 settings check node.settings.jsonc", "List every fault with its line and column."),
        handler: ({ file }) =>
            context.run(async () => {
                const { loadSettings } = await import("./loadSettings.ts");
                const settings = loadSettings(file, context);
                if (settings === undefined) {
                    return ExitCode.BrokenFile;
                }
                context.print(`${file} is correct; it sets up the node ${settings.vm}.`);
                return ExitCode.Success;
            }),
    };
    return {
        command: "settings",
        describe: "Check a node's settings.",
        builder: parser => parser.command(check).demandCommand(1, "Name what to do with the settings."),
        handler: () => undefined,
    };
}
