import { z } from "zod";

/** Shape of one line of an engine's answer; engines are not trusted to keep to it. */
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
