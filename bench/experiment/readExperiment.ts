import { readFileSync } from "node:fs";
import { parseJsonc } from "../../src/process/jsonc/parseJsonc.ts";
import { Err, Ok, type Result } from "../../src/result.ts";
import { type ExperimentSettings, experimentSettingsSchema } from "./experimentSettings.ts";

/**
 * Reads an experiment file.
 * @param path - Path of the file.
 * @returns The settings, or all errors in the file, one per line.
 */
export function readExperiment(path: string | URL): Result<ExperimentSettings, string> {
    const parsed = parseJsonc(readFileSync(path, "utf8"), experimentSettingsSchema);
    if (parsed.ok) {
        return Ok(parsed.val);
    }
    return Err(
        parsed.val.map(({ line, column, message }) => `${String(path)}:${line}:${column}: ${message}`).join("\n"),
    );
}
