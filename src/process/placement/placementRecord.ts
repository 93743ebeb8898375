import { z } from "zod";

/** The plan of one service's layers, as it stands in the platform's store. */
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
