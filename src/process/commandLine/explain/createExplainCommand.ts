import { readFileSync } from "node:fs";
import type { CommandModule } from "yargs";
import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { formatStory } from "./formatStory.ts";
import { findRequestStory } from "./requestStory.ts";

const standardInput = 0;

/** Creates the verb `explain`. */
export function createExplainCommand(
    context: CommandContext,
): CommandModule<object, { request: string; logs: string[]; }> {
    return {
        command: "explain <request> [logs..]",
        describe: "Print what the logs of all nodes say of a request, in order.",
        builder: parser =>
            parser
                .positional("request", { type: "string", demandOption: true, describe: "Id of the request." })
                .positional("logs", {
                    type: "string",
                    array: true,
                    default: [],
                    describe: "Files of log lines; standard input where none is named.",
                })
                .example("$0 explain 9c41d07be2a35f68 node-*.log", "Explain a request from the logs of some nodes."),
        handler: ({ request, logs }) => context.run(async () => explain(String(request), logs, context)),
    };
}

function explain(request: string, files: string[], context: CommandContext): ExitCode {
    const lines: string[] = [];
    for (const file of files.length === 0 ? [standardInput] : files) {
        try {
            lines.push(...readFileSync(file, "utf8").split("\n"));
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            context.printError(`${file} can't be read: ${reason}. Name files of log lines.`);
            return ExitCode.BrokenFile;
        }
    }
    const story = findRequestStory(lines, request);
    if (story.length === 0) {
        context.printError(
            `No line is about the request ${request}. Check its id, and that all nodes' logs are given.`,
        );
        return ExitCode.BrokenFile;
    }
    for (const line of formatStory(story)) {
        context.print(line);
    }
    return ExitCode.Success;
}
