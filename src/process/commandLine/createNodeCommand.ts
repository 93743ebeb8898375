import type { CommandModule } from "yargs";
import type { CommandContext } from "./commandContext.ts";
import { ExitCode } from "./exitCode.ts";

/** Creates the command `node`. */
export function createNodeCommand(context: CommandContext): CommandModule<object, { settings: string; }> {
    return {
        command: "node",
        describe: "Run a node until SIGTERM.",
        builder: parser =>
            parser
                .option("settings", {
                    type: "string",
                    demandOption: true,
                    requiresArg: true,
                    describe: "Settings file of the node.",
                })
                .example("$0 node --settings node.settings.jsonc", "Run a node."),
        handler: ({ settings: file }) =>
            context.run(async () => {
                // Imported on demand so that the other commands do not load it.
                const { loadSettings } = await import("./loadSettings.ts");
                const settings = loadSettings(file, context);
                if (settings === undefined) {
                    return ExitCode.InvalidFile;
                }
                const { runNode } = await import("../runNode.ts");
                await runNode(settings);
                return ExitCode.Success;
            }),
    };
}
