import type { PlatformStore } from "../../platform/platformStore.ts";
import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { loadConfiguration } from "./loadConfiguration.ts";
import { printDifferences } from "./printDifferences.ts";
import { readStoredConfiguration } from "./readStoredConfiguration.ts";

/** Runs `config diff`. */
export async function diffConfiguration(
    file: string,
    store: PlatformStore,
    context: CommandContext,
): Promise<ExitCode> {
    const loaded = loadConfiguration(file, context);
    if (loaded === undefined) {
        return ExitCode.InvalidFile;
    }
    const stored = await readStoredConfiguration(store);
    if (stored.err) {
        context.printError(stored.val.message);
        return ExitCode.Unreachable;
    }
    printDifferences(stored.val, loaded.configuration, context);
    return ExitCode.Success;
}
