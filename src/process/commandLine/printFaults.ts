import type { TextFault } from "../jsonc/textFault.ts";
import type { CommandContext } from "./commandContext.ts";

/**
 * Prints the errors of a file as `FILE:LINE:COLUMN: PATH: MESSAGE`, a format that editors recognize.
 * @param file - Path of the file.
 * @param faults - Errors in the order of the text.
 * @param context - Context to print the errors with.
 */
export function printFaults(file: string, faults: readonly TextFault[], context: CommandContext): void {
    for (const { line, column, path, message } of faults) {
        const prefix = path === "" ? "" : `${path}: `;
        context.printError(`${file}:${line}:${column}: ${prefix}${message}`);
    }
    context.printError(`${file} has ${faults.length} ${faults.length === 1 ? "error" : "errors"}; nothing was done.`);
}
