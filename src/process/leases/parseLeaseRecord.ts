import * as z from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import type { LeaseRecord } from "./leaseRecord.ts";

const recordSchema = z.object({
    holder: z.string(),
    fencingNumber: z.int().positive(),
    writeId: z.string(),
    isReleased: z.boolean(),
    timeToLiveMilliseconds: z.number().positive(),
    longestOrderMilliseconds: z.number().nonnegative(),
    expiresHint: z.number(),
});

/**
 * Parses the record of a lease. The error describes what is invalid.
 * @param value - Value of the lease's key.
 */
export function parseLeaseRecord(value: string): Result<LeaseRecord, string> {
    let content: unknown;
    try {
        content = JSON.parse(value);
    }
    catch {
        return Err(
            "The value of the lease's key is not valid JSON. Restore its last record with a higher fencing number.",
        );
    }
    const parsed = recordSchema.safeParse(content);
    return parsed.success ? Ok(parsed.data) : Err(z.prettifyError(parsed.error));
}
