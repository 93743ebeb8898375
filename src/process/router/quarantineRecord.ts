import * as z from "zod";

/** Stored form of the quarantined requests in the platform's store. */
export const quarantineRecordSchema = z.object({
    runs: z.array(z.object({
        fingerprint: z.string(),
        endpointId: z.string(),
        /** Wall-clock time at which the endpoint ended, in milliseconds since the Unix epoch. */
        endedAt: z.number(),
        /** Whether the request was a canary for the suspect. */
        isCanary: z.boolean().optional(),
    })),
});

export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;
