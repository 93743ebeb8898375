import { z } from "zod";

const count = z.int().min(0).optional();

/** Shape of the faults that a test may ask of a document service. */
export const documentFaults = z.strictObject({
    /** Calls answered with 429 and not run. */
    refuseNext: count,
    /** Calls whose connection is destroyed before they run. */
    resetBeforeRun: count,
    /** Calls whose connection is destroyed after they have run. */
    resetAfterRun: count,
    /** Makes the connections that are open now silent for good. */
    freezeExistingConnections: z.literal(true).optional(),
    /** Time of one execution, in milliseconds. */
    delayMilliseconds: z.number().min(0).optional(),
});
export type DocumentFaults = z.infer<typeof documentFaults>;
