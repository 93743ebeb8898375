import type { Configuration } from "../../../version/configuration.ts";
import { parseConfiguration } from "../../../version/parseConfiguration.ts";
import type { CommandContext } from "../commandContext.ts";
import { printFaults } from "../printFaults.ts";
import { readTextFile } from "../readTextFile.ts";

interface ConfigurationFile {
    text: string;
    configuration: Configuration;
}

/**
 * Reads and checks a file of the configuration, and prints its faults.
 * @param file - File to read.
 * @param context - Takes the faults.
 * @returns Undefined where the file is missing or has faults.
 */
export function loadConfiguration(file: string, context: CommandContext): ConfigurationFile | undefined {
    const text = readTextFile(file, context);
    if (text === undefined) {
        return undefined;
    }
    const configuration = parseConfiguration(text);
    if (configuration.err) {
        printFaults(file, configuration.val, context);
        return undefined;
    }
    return { text, configuration: configuration.val };
}
