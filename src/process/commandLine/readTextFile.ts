import { readFileSync } from "node:fs";
import type { CommandContext } from "./commandContext.ts";

/**
 * Reads a text file, and prints an error if it can't be read.
 * @param file - Path of the file, or `-` for standard input.
 * @param context - Context to print the error with.
 */
export function readTextFile(file: string, context: CommandContext): string | undefined {
    try {
        return readFileSync(file === "-" ? process.stdin.fd : file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        context.printError(`The file ${file} can't be read; check its path and permissions: ${reason}.`);
        return undefined;
    }
}
