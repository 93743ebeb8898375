import { ConfigurationHistory } from "../../../version/configurationHistory.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";
import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { readStoredConfiguration } from "./readStoredConfiguration.ts";

/**
 * Runs `config show`: prints the original text to standard output and everything else to standard error.
 * @param version - Version from the history. Defaults to the current one.
 */
export async function showConfiguration(
    version: number | undefined,
    store: PlatformStore,
    context: CommandContext,
): Promise<ExitCode> {
    const key = version === undefined ? undefined : ConfigurationHistory.getKey(version);
    const stored = await readStoredConfiguration(store, key);
    if (stored.err) {
        context.printError(stored.val.message);
        return ExitCode.Unreachable;
    }
    if (stored.val === undefined || (version !== undefined && stored.val.version !== version)) {
        const remedy = "Run foxlead config history to list the versions, or apply a first one.";
        context.printError(`The store does not hold ${version === undefined ? "a" : "that"} version. ${remedy}`);
        return ExitCode.InvalidFile;
    }
    const { author, appliedAt, editId, text } = stored.val;
    const time = new Date(appliedAt).toISOString();
    context.printError(`Version ${stored.val.version} by ${author} at ${time}, edit ${editId}.`);
    context.print(text.trimEnd());
    return ExitCode.Success;
}
