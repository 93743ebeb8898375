import type { TextFault } from "../jsonc/textFault.ts";
import type { CommandContext } from "./commandContext.ts";

/**
 * Prints faults as `FILE:LINE:COLUMN: PATH: MESSAGE`, which editors understand.
 * @param file - File that has the faults.
 * @param faults - Faults in the order of the text.
 * @param context - Takes the lines.
 */
export function printFaults(file: string, faults: readonly TextFault[], context: CommandContext): void {
    for (const { line, column, path, message } of faults) {
        const place = path === "" ? "" : `${path}: `;
        context.printError(`${file}:${line}:${column}: ${place}${message}`);
    }
    context.printError(`${file} has ${faults.length} ${faults.length === 1 ? "fault" : "faults"}; nothing was done.`);
}
