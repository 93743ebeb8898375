import { readFileSync } from "node:fs";
import { parseJsonc } from "../../src/process/jsonc/parseJsonc.ts";
import { Err, Ok, type Result } from "../../src/result.ts";
import { type ExperimentSettings, experimentSettingsSchema } from "./experimentSettings.ts";

/**
 * Reads the file of an experiment.
 * @param path - Its path.
 * @returns The settings, or all faults of the file, a line each.
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
