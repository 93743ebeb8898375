import { z } from "zod";
import { Err, Ok, type Result } from "../../../src/result.ts";

/** Parses a JSON body and validates it against a schema. The error is a message for the client. */
export function parseBody<T>(body: Buffer, schema: z.ZodType<T>): Result<T, string> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch {
        return Err("The body is not valid JSON. Send one JSON value in UTF-8.");
    }
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        return Err(`The body does not match the schema: ${z.prettifyError(parsed.error)}`);
    }
    return Ok(parsed.data);
}
