import type { CommandModule } from "yargs";
import type { NodeStatus } from "../admin/nodeStatus.ts";
import { adminOption } from "./adminOption.ts";
import type { CommandContext } from "./commandContext.ts";
import { ExitCode } from "./exitCode.ts";
import { formatStatus } from "./formatStatus.ts";

/** Creates the command `status`. */
export function createStatusCommand(
    context: CommandContext,
): CommandModule<object, { admin: string[]; json: boolean; }> {
    return {
        command: "status",
        describe: "Show what nodes report about themselves, each other and the endpoints.",
        builder: parser =>
            parser
                .option("admin", { ...adminOption, demandOption: true })
                .option("json", { type: "boolean", default: false, describe: "Print the result as JSON." })
                .example("$0 status --admin 127.0.0.1:9400", "Show the status of one node.")
                .example(
                    "$0 status --admin 127.0.0.1:9400,127.0.0.1:9401 --json",
                    "Show the status of two nodes as JSON.",
                ),
        handler: ({ admin, json }) => context.run(() => showStatus(admin, json, context)),
    };
}

async function showStatus(addresses: string[], isJson: boolean, context: CommandContext): Promise<ExitCode> {
    const { fetchNodeStatus } = await import("./fetchNodeStatus.ts");
    const answers = await Promise.all(addresses.map(fetchNodeStatus));
    const statuses: NodeStatus[] = [];
    for (const answer of answers) {
        if (answer.ok) {
            statuses.push(answer.val);
        }
        else {
            context.printError(answer.val);
        }
    }
    const lines = isJson ? [JSON.stringify(statuses, undefined, 4)] : formatStatus(statuses);
    for (const line of statuses.length > 0 || isJson ? lines : []) {
        context.print(line);
    }
    return statuses.length === addresses.length ? ExitCode.Success : ExitCode.Unreachable;
}
