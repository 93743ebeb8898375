import * as z from "zod";

/** Schema of one line of an engine's response, which is validated because engines are not trusted. */
export const passResultSchema = z.object({
    id: z.number().int(),
    request: z.string(),
    attempt: z.number().int(),
    position: z.number().int().nonnegative(),
    count: z.number().int().nonnegative(),
    layerStart: z.number().int().nonnegative(),
    layerEnd: z.number().int().nonnegative(),
    outcome: z.enum(["done", "refused", "failed"]),
    hidden: z.array(z.number()).optional(),
    token: z.number().int().nonnegative().optional(),
    text: z.string().optional(),
    end: z.boolean().optional(),
    reason: z.string().optional(),
    queue: z.number().nonnegative(),
});
