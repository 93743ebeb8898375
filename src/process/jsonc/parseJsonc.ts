import type { z } from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import { describeIssue } from "./describeIssue.ts";
import { JsoncDocument } from "./jsoncDocument.ts";
import type { TextFault } from "./textFault.ts";
import type { ValueFault } from "./valueFault.ts";

/** Size limit of a text, in bytes of UTF-8. The platform's store accepts no larger values. */
const maximumTextBytes = 1_000_000;

/** Maximum number of faults that are reported. */
const maximumFaults = 1_000;

/**
 * Parses JSON with comments, validates it against a schema and fills in the schema's defaults.
 * Reports all faults at once, in the order of the text.
 * @param schema - Schema of the value. Objects should be strict, so that unknown keys are faults.
 * @param findFaults - Finds faults that the schema cannot express, such as broken references. It gets the value as
 * written, which may not match the schema and whose objects have no prototype.
 */
export function parseJsonc<T>(
    text: string,
    schema: z.ZodType<T>,
    findFaults: (value: unknown) => ValueFault[] = () => [],
): Result<T, TextFault[]> {
    const bytes = Buffer.byteLength(text);
    if (bytes > maximumTextBytes) {
        const message = `The text has ${bytes} bytes. Shorten it to at most ${maximumTextBytes} bytes.`;
        return Err([{ line: 1, column: 1, path: "", message }]);
    }
    const document = JsoncDocument.create(text);
    if (document.getFaults().length > 0) {
        return Err(sortFaults([...document.getFaults()]));
    }
    const value = document.getValue();
    const parsed = schema.safeParse(value);
    const valueFaults = findFaults(value);
    for (const issue of parsed.error?.issues.slice(0, maximumFaults) ?? []) {
        valueFaults.push(...describeIssue(issue, path => document.hasValue(path)));
    }
    if (parsed.success && valueFaults.length === 0) {
        return Ok(parsed.data);
    }
    return Err(sortFaults(valueFaults.slice(0, maximumFaults).map(fault => document.locateFault(fault))));
}

function sortFaults(faults: TextFault[]): TextFault[] {
    return faults.sort((left, right) => left.line - right.line || left.column - right.column).slice(0, maximumFaults);
}
