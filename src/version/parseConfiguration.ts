import { parseJsonc } from "../process/jsonc/parseJsonc.ts";
import type { TextFault } from "../process/jsonc/textFault.ts";
import type { Result } from "../result.ts";
import type { Configuration } from "./configuration.ts";
import { configurationSchema } from "./configurationSchema.ts";
import { findReferenceFaults } from "./findReferenceFaults.ts";

/**
 * Checks the operators' text and fills in its defaults. All faults are reported at once.
 * Whether endpoints cover all layers of a model is not checked: engines may report more at run time.
 * @param text - JSON with comments, at most 1,000,000 bytes.
 */
export function parseConfiguration(text: string): Result<Configuration, TextFault[]> {
    return parseJsonc(text, configurationSchema, findReferenceFaults);
}
