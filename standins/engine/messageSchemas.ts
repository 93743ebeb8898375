import { z } from "zod";

const count = z.int().min(0);
const layerRange = z.object({ model: z.string(), start: count, end: count })
    .refine(range => range.start < range.end, "The layer range is empty.");

const pass = z.object({
    id: z.int(),
    request: z.string().min(1),
    attempt: count,
    model: z.string(),
    position: count,
    layerStart: count,
    layerEnd: count,
    priority: z.number(),
    text: z.string().optional(),
    tokens: z.array(count).optional(),
    hidden: z.array(count).optional(),
    rebuild: z.boolean().optional(),
})
    .refine(value => value.layerStart < value.layerEnd, "The layer range is empty.")
    .refine(value => value.text === undefined || value.position === 0, "Text is only allowed at position 0.")
    .refine(
        value => value.layerStart > 0 || value.text !== undefined || (value.tokens?.length ?? 0) > 0,
        "A pass that starts at layer 0 requires text or tokens.",
    )
    .refine(
        value =>
            value.layerStart === 0 || ((value.hidden?.length ?? 0) > 0 && !value.tokens && value.text === undefined),
        "A pass that starts at a later layer requires hidden and must not have text or tokens.",
    );

/** Schemas of the request bodies that the engine stand-in accepts. */
export const messageSchemas = {
    passBatch: z.object({ passes: z.array(pass) }),
    /** Also used for cache exports. */
    cancelOrder: z.object({ request: z.string().min(1), attempt: count }),
    cacheBlob: z.object({
        request: z.string().min(1),
        attempt: count,
        layerStart: count,
        layerEnd: count,
        positions: count,
        data: z.string(),
    }),
    engineOrder: z.object({ fencingNumber: count, kind: z.enum(["load", "unload"]), range: layerRange }),
    faults: z.strictObject({
        leaving: z.boolean().optional(),
        slowFactor: z.number().positive().optional(),
        freeze: z.boolean().optional(),
        freezeExistingConnections: z.literal(true).optional(),
        failNextPasses: count.optional(),
        resetNextBatches: count.optional(),
        refuseNext: count.optional(),
    }),
};
