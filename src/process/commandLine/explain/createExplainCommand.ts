import { readFileSync } from "node:fs";
import type { CommandModule } from "yargs";
import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { describeRefusal } from "./describeRefusal.ts";
import { findRequestLog } from "./findRequestLog.ts";
import { formatRequestLog } from "./formatRequestLog.ts";

const standardInputDescriptor = 0;

/** Creates the command `explain`. */
export function createExplainCommand(
    context: CommandContext,
): CommandModule<object, { request: string; logs: string[]; }> {
    return {
        command: "explain <request> [logs..]",
        describe: "Print the log lines of all nodes about a request, in order.",
        builder: parser =>
            parser
                .positional("request", { type: "string", demandOption: true, describe: "Id of the request." })
                .positional("logs", {
                    type: "string",
                    array: true,
                    default: [],
                    describe: "Log files. Default: standard input.",
                })
                .example("$0 explain 9c41d07be2a35f68 node-*.log", "Explain a request from the logs of several nodes."),
        handler: ({ request, logs }) => context.run(async () => explain(String(request), logs, context)),
    };
}

function explain(request: string, files: string[], context: CommandContext): ExitCode {
    const lines: string[] = [];
    for (const file of files.length === 0 ? [standardInputDescriptor] : files) {
        try {
            lines.push(...readFileSync(file, "utf8").split("\n"));
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            context.printError(`${file} can't be read: ${reason}. Check the paths of the log files.`);
            return ExitCode.InvalidFile;
        }
    }
    const requestLines = findRequestLog(lines, request);
    if (requestLines.length === 0) {
        context.printError(
            `There are no log lines about the request ${request}. Check its id, and that the logs of all nodes are given.`,
        );
        return ExitCode.InvalidFile;
    }
    for (const line of formatRequestLog(requestLines)) {
        context.print(line);
    }
    const refusal = describeRefusal(requestLines);
    if (refusal !== undefined) {
        context.print(refusal);
    }
    return ExitCode.Success;
}
