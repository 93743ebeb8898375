import { readFileSync } from "node:fs";
import type { CommandContext } from "./commandContext.ts";

/**
 * Reads a file that the command line names, and says so where it can't be read.
 * @param file - Path; `-` for standard input.
 * @param context - Takes the error.
 */
export function readTextFile(file: string, context: CommandContext): string | undefined {
    try {
        return readFileSync(file === "-" ? process.stdin.fd : file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        context.printError(`The file ${file} can't be read; check its path and rights: ${reason}.`);
        return undefined;
    }
}
