import type { CommandModule } from "yargs";
import packageDescription from "../../../package.json" with { type: "json" };
import type { CommandContext } from "./commandContext.ts";
import { ExitCode } from "./exitCode.ts";

/** Creates the command `version`. */
export function createVersionCommand(context: CommandContext): CommandModule {
    return {
        command: "version",
        describe: "Show the versions of foxlead and its Node.js.",
        handler: () =>
            context.run(async () => {
                context.print(`foxlead ${packageDescription.version} (Node.js ${process.versions.node})`);
                return ExitCode.Success;
            }),
    };
}
