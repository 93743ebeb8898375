import { Err, Ok, type Result } from "../../../result.ts";
import { ConfigurationHistory } from "../../../version/configurationHistory.ts";
import { StoredConfiguration } from "../../../version/storedConfiguration.ts";
import type { PlatformError } from "../../platform/platformError.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";
import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { formatTable } from "../formatTable.ts";

/** Small, because a value may have up to 1 MB. */
const pageSize = 5;

/** Runs `config history`: prints a table of the versions in the store, the newest first. */
export async function showHistory(store: PlatformStore, context: CommandContext): Promise<ExitCode> {
    const history = await readHistory(store);
    if (history.err) {
        context.printError(history.val.message);
        return ExitCode.Unreachable;
    }
    const rows = [["VERSION", "APPLIED AT", "AUTHOR", "EDIT"]];
    for (const { version, appliedAt, author, editId } of history.val) {
        rows.push([String(version), new Date(appliedAt).toISOString(), author, editId]);
    }
    for (const line of formatTable(rows)) {
        context.print(line);
    }
    return ExitCode.Success;
}

async function readHistory(store: PlatformStore): Promise<Result<StoredConfiguration[], PlatformError>> {
    const versions: StoredConfiguration[] = [];
    let nextKey: string | undefined;
    do {
        const page = await store.list(ConfigurationHistory.prefix, nextKey, pageSize);
        if (page.err) {
            return Err(page.val);
        }
        for (const { value } of page.val.values) {
            const decoded = StoredConfiguration.decode(value);
            if (decoded.ok) {
                versions.push(decoded.val);
            }
        }
        nextKey = page.val.nextKey;
    }
    while (nextKey !== undefined);
    return Ok(versions.sort((left, right) => right.version - left.version));
}
