import * as z from "zod";

const layerRangeSchema = z.object({
    model: z.string(),
    start: z.number().int().nonnegative(),
    end: z.number().int().nonnegative(),
});

/** Schema of an engine's status, which is validated because engines are not trusted. */
export const engineStatusSchema = z.object({
    endpoint: z.string(),
    leaving: z.boolean(),
    layers: z.array(layerRangeSchema),
    queue: z.number().nonnegative(),
    sequences: z.number().nonnegative(),
    freePositions: z.number(),
    fencingNumber: z.number(),
    loadAgeMilliseconds: z.number().nonnegative(),
    cacheSequence: z.number(),
});
