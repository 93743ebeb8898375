import { z } from "zod";

const layerRangeSchema = z.object({
    model: z.string(),
    start: z.number().int().nonnegative(),
    end: z.number().int().nonnegative(),
});

/** Shape of an engine's status; engines are not trusted to keep to it. */
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
