import type { NodeSettings } from "../settings/nodeSettings.ts";
import { parseSettings } from "../settings/parseSettings.ts";
import type { CommandContext } from "./commandContext.ts";
import { printFaults } from "./printFaults.ts";
import { readTextFile } from "./readTextFile.ts";

/**
 * Reads and checks the settings, and prints their faults.
 * @param file - File of the settings.
 * @param context - Takes the faults.
 * @returns The settings, or undefined where the file is missing or has faults.
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
