import type { Configuration } from "../../../version/configuration.ts";
import { diffConfigurations } from "../../../version/diffConfigurations.ts";
import { parseConfiguration } from "../../../version/parseConfiguration.ts";
import type { StoredConfiguration } from "../../../version/storedConfiguration.ts";
import type { CommandContext } from "../commandContext.ts";

/**
 * Prints what a new configuration changes.
 * @param stored - Configuration in the store; undefined if there is none.
 * @param next - New configuration.
 * @param context - Context to print the differences with.
 */
export function printDifferences(
    stored: StoredConfiguration | undefined,
    next: Configuration,
    context: CommandContext,
): void {
    // A stored text that this release can't parse is treated as none.
    const before = stored === undefined ? undefined : parseConfiguration(stored.text).unwrapOr(undefined);
    const lines = diffConfigurations(before, next);
    const from = stored === undefined ? "an empty store" : `version ${stored.version} by ${stored.author}`;
    context.print(lines.length === 0 ? `No differences from ${from}.` : `Differences from ${from}:`);
    for (const line of lines) {
        context.print(line);
    }
}
