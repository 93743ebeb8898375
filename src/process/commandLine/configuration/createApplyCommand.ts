import type { CommandModule } from "yargs";
import { adminOption } from "../adminOption.ts";
import type { CommandContext } from "../commandContext.ts";
import { UsageError } from "../usageError.ts";
import type { ApplyArguments } from "./applyArguments.ts";
import { storeOption } from "./storeOption.ts";

const defaultTimeoutSeconds = 30;

/** Creates the command `config apply`. */
export function createApplyCommand(context: CommandContext): CommandModule<object, ApplyArguments> {
    return {
        command: "apply <file>",
        describe: "Apply a configuration as the next version.",
        builder: parser =>
            parser
                .positional("file", { type: "string", demandOption: true, describe: "Configuration file." })
                .option("store", storeOption)
                .option("expect", {
                    type: "number",
                    requiresArg: true,
                    coerce: checkVersion,
                    describe: "Version that the text is based on. Default: the one in the store.",
                })
                .option("yes", { type: "boolean", default: false, describe: "Apply without confirmation." })
                .option("wait", {
                    type: "boolean",
                    default: false,
                    describe: "Wait until the version is in force on every node. Needs --admin.",
                })
                .option("timeout", {
                    type: "number",
                    default: defaultTimeoutSeconds,
                    requiresArg: true,
                    coerce: checkTimeout,
                    describe: "Maximum time to wait, in seconds.",
                })
                .option("admin", adminOption)
                .option("edit", {
                    type: "string",
                    requiresArg: true,
                    describe: "Id of the edit, to retry one whose outcome is unknown. Default: a new id.",
                })
                .option("author", {
                    type: "string",
                    requiresArg: true,
                    describe: "Author of the edit. Default: this user.",
                })
                .check(({ wait, admin }) => {
                    if (wait && admin === undefined) {
                        throw new UsageError("--wait needs --admin with at least one node.");
                    }
                    return true;
                })
                .example(
                    "$0 config apply services.jsonc --store 127.0.0.1:2379",
                    "Show the changes, ask for confirmation and apply them.",
                )
                .example(
                    "$0 config apply services.jsonc --store 127.0.0.1:2379 --expect 7 --yes --wait --admin 127.0.0.1:9400",
                    "Apply only if version 7 is in the store, and wait for all nodes that 127.0.0.1:9400 knows.",
                ),
        handler: options =>
            context.run(async () => {
                const { withStore } = await import("./withStore.ts");
                const { applyConfigurationFile } = await import("./applyConfigurationFile.ts");
                return withStore(options.store, store => applyConfigurationFile(options, store, context));
            }),
    };
}

function checkVersion(version: number | undefined): number | undefined {
    if (version !== undefined && !(Number.isSafeInteger(version) && version >= 0)) {
        throw new UsageError("--expect needs a version number, or 0 if there is no version.");
    }
    return version;
}

function checkTimeout(seconds: number): number {
    if (!(seconds >= 0)) {
        throw new UsageError("--timeout needs a number of seconds.");
    }
    return seconds;
}
