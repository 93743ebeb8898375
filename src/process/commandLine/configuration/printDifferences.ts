import type { Configuration } from "../../../version/configuration.ts";
import { diffConfigurations } from "../../../version/diffConfigurations.ts";
import { parseConfiguration } from "../../../version/parseConfiguration.ts";
import type { StoredConfiguration } from "../../../version/storedConfiguration.ts";
import type { CommandContext } from "../commandContext.ts";

/**
 * Prints what a new configuration changes.
 * @param stored - What stands in the store; undefined where nothing does.
 * @param next - Configuration to compare with it.
 * @param context - Takes the lines.
 */
export function printDifferences(
    stored: StoredConfiguration | undefined,
    next: Configuration,
    context: CommandContext,
): void {
    // A stored text that this release can't parse compares as none.
    const before = stored === undefined ? undefined : parseConfiguration(stored.text).unwrapOr(undefined);
    const lines = diffConfigurations(before, next);
    const from = stored === undefined ? "an empty store" : `version ${stored.version} by ${stored.author}`;
    context.print(lines.length === 0 ? `No differences from ${from}.` : `Differences from ${from}:`);
    for (const line of lines) {
        context.print(line);
    }
}
