import { readFileSync } from "node:fs";
import type { Result } from "../../result.ts";
import { parseJsonc } from "../jsonc/parseJsonc.ts";
import type { TextFault } from "../jsonc/textFault.ts";
import { createSettingsSchema } from "./createSettingsSchema.ts";
import type { NodeSettings } from "./nodeSettings.ts";

/**
 * Parses the settings of a process, which are JSON with comments, and reads the files that they refer to.
 * @param text - Text of the settings.
 * @param readText - Reads a file that the settings refer to; throws if it cannot be read. Reads from disk by default.
 * @returns The settings, or all faults in the text with their lines and columns.
 */
export function parseSettings(
    text: string,
    readText: (file: string) => string = file => readFileSync(file, "utf8"),
): Result<NodeSettings, TextFault[]> {
    return parseJsonc(text, createSettingsSchema(readText));
}
