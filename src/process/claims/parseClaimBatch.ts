import * as z from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import type { ClaimBatch } from "./claimBatch.ts";

const claimSchema = z.object({
    key: z.string(),
    bodyHash: z.string(),
    claimant: z.string(),
    nodeId: z.string(),
});
const batchSchema = z.object({
    number: z.int().nonnegative(),
    batchId: z.string(),
    writtenAt: z.number(),
    horizon: z.number(),
    claims: z.array(claimSchema),
});

/**
 * Parses the contents of a slot. Returns an error with the reason if they are invalid.
 * @param value - Value of the slot's key.
 */
export function parseClaimBatch(value: string): Result<ClaimBatch, string> {
    let content: unknown;
    try {
        content = JSON.parse(value);
    }
    catch {
        return Err("The value is not valid JSON.");
    }
    const parsed = batchSchema.safeParse(content);
    return parsed.success ? Ok(parsed.data) : Err(z.prettifyError(parsed.error));
}
