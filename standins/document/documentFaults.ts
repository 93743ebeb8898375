import { z } from "zod";

const count = z.int().min(0).optional();

/** Schema of the faults that a test can set on a document service. */
export const documentFaults = z.strictObject({
    /** Number of calls to refuse with status 429 without running them. */
    refuseNext: count,
    /** Number of calls whose connection is destroyed before they run. */
    resetBeforeRun: count,
    /** Number of calls whose connection is destroyed after they have run. */
    resetAfterRun: count,
    /** Permanently silences the open connections. */
    freezeExistingConnections: z.literal(true).optional(),
    /** Duration of an execution, in milliseconds. */
    delayMilliseconds: z.number().min(0).optional(),
});
export type DocumentFaults = z.infer<typeof documentFaults>;
