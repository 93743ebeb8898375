import { parseJsonc } from "../process/jsonc/parseJsonc.ts";
import type { TextFault } from "../process/jsonc/textFault.ts";
import type { Result } from "../result.ts";
import type { Configuration } from "./configuration.ts";
import { configurationSchema } from "./configurationSchema.ts";
import { findReferenceFaults } from "./findReferenceFaults.ts";

/**
 * Parses and validates the operators' text and fills in defaults. All errors are reported at once.
 * It does not check that endpoints cover all layers of a model, because engines may report more layers at run time.
 * @param text - JSON with comments, at most 1,000,000 bytes.
 */
export function parseConfiguration(text: string): Result<Configuration, TextFault[]> {
    return parseJsonc(text, configurationSchema, findReferenceFaults);
}
