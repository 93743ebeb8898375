import { z } from "zod";
import { Err, Ok, type Result } from "../../../src/result.ts";

/**
 * Parses a JSON body and checks its shape.
 * @param body - Body as received.
 * @param schema - Shape of the value.
 */
export function parseBody<T>(body: Buffer, schema: z.ZodType<T>): Result<T, string> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch {
        return Err("The body is not JSON; send one JSON value in UTF-8.");
    }
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        return Err(`The body has a wrong shape; correct it: ${z.prettifyError(parsed.error)}`);
    }
    return Ok(parsed.data);
}
