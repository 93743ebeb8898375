import type { NodeSettings } from "../settings/nodeSettings.ts";
import { parseSettings } from "../settings/parseSettings.ts";
import type { CommandContext } from "./commandContext.ts";
import { printFaults } from "./printFaults.ts";
import { readTextFile } from "./readTextFile.ts";

/**
 * Reads and validates a settings file, and prints its errors.
 * @param file - Path of the settings file.
 * @param context - Context to print the errors with.
 * @returns The settings, or undefined if the file is missing or invalid.
 */
export function loadSettings(file: string, context: CommandContext): NodeSettings | undefined {
    const text = readTextFile(file, context);
    if (text === undefined) {
        return undefined;
    }
    const settings = parseSettings(text);
    if (settings.err) {
        printFaults(file, settings.val, context);
        return undefined;
    }
    return settings.val;
}
