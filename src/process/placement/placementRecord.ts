import * as z from "zod";

/** Schema of the plan of a service's layers in the platform's store. */
export const placementRecordSchema = z.object({
    service: z.string(),
    modelName: z.string(),
    layers: z.number().int(),
    columns: z.array(z.object({
        layers: z.object({ start: z.number().int(), end: z.number().int() }),
        kind: z.string(),
    })),
});

export type PlacementRecord = z.infer<typeof placementRecordSchema>;
