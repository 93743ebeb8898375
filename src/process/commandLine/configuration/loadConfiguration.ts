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
 * Reads and validates a configuration file, and prints its errors.
 * @param file - Path of the file.
 * @param context - Context to print the errors with.
 * @returns The configuration, or undefined if the file is missing or invalid.
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
