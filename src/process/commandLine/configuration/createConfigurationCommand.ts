import type { Argv, CommandModule } from "yargs";
import type { CommandContext } from "../commandContext.ts";
import { createApplyCommand } from "./createApplyCommand.ts";
import { storeOption } from "./storeOption.ts";

/**
 * Creates the command `config` with its subcommands. Each subcommand imports its code on demand, which keeps the start of the program
 * fast.
 */
export function createConfigurationCommand(context: CommandContext): CommandModule {
    return {
        command: "config",
        describe: "Check, compare, apply and show the operators' configuration.",
        builder: parser =>
            parser
                .command(createCheckCommand(context))
                .command(createDiffCommand(context))
                .command(createApplyCommand(context))
                .command(createShowCommand(context))
                .command(createHistoryCommand(context))
                .demandCommand(1, "Specify a subcommand."),
        handler: () => undefined,
    };
}

function createCheckCommand(context: CommandContext): CommandModule<object, { file: string; }> {
    return {
        command: "check <file>",
        describe: "Check a configuration file.",
        builder: parser =>
            addFile(parser).example("$0 config check services.jsonc", "List every error with its line and column."),
        handler: ({ file }) =>
            context.run(async () => {
                const { checkConfiguration } = await import("./checkConfiguration.ts");
                return checkConfiguration(file, context);
            }),
    };
}

function createDiffCommand(context: CommandContext): CommandModule<object, { file: string; store: string; }> {
    return {
        command: "diff <file>",
        describe: "Show what applying a configuration file would change.",
        builder: parser =>
            addFile(parser)
                .option("store", storeOption)
                .example("$0 config diff services.jsonc --store 127.0.0.1:2379", "Compare with what is in force."),
        handler: ({ file, store: address }) =>
            context.run(async () => {
                const { withStore } = await import("./withStore.ts");
                const { diffConfiguration } = await import("./diffConfiguration.ts");
                return withStore(address, store => diffConfiguration(file, store, context));
            }),
    };
}

function createShowCommand(context: CommandContext): CommandModule<object, { store: string; version?: number; }> {
    return {
        command: "show",
        describe: "Print the original text of a version.",
        builder: parser =>
            parser
                .option("store", storeOption)
                .option("version", {
                    type: "number",
                    requiresArg: true,
                    describe: "Version from the history. Default: the newest.",
                })
                .example("$0 config show --store 127.0.0.1:2379 > services.jsonc", "Fetch the text to edit it."),
        handler: ({ store: address, version }) =>
            context.run(async () => {
                const { withStore } = await import("./withStore.ts");
                const { showConfiguration } = await import("./showConfiguration.ts");
                return withStore(address, store => showConfiguration(version, store, context));
            }),
    };
}

function createHistoryCommand(context: CommandContext): CommandModule<object, { store: string; }> {
    return {
        command: "history",
        describe: "List the last versions, who applied them and when.",
        builder: parser =>
            parser
                .option("store", storeOption)
                .example("$0 config history --store 127.0.0.1:2379", "List the versions."),
        handler: ({ store: address }) =>
            context.run(async () => {
                const { withStore } = await import("./withStore.ts");
                const { showHistory } = await import("./showHistory.ts");
                return withStore(address, store => showHistory(store, context));
            }),
    };
}

function addFile(parser: Argv) {
    return parser.positional("file", { type: "string", demandOption: true, describe: "Configuration file." });
}
