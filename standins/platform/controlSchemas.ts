import { z } from "zod";

/** Schemas of the request bodies that control the stand-in. */
export const controlSchemas = {
    faults: z.strictObject({
        down: z.boolean().optional(),
        hang: z.boolean().optional(),
        delayMilliseconds: z.number().min(0).optional(),
        loseAnswers: z.int().min(0).optional(),
        silenceOpenConnections: z.boolean().optional(),
        restoreOlder: z.boolean().optional(),
    }),
    vm: z.strictObject({
        vm: z.string(),
        state: z.enum(["live", "leaving"]),
        role: z.enum(["node", "endpoint"]),
        address: z.string(),
        dataCentre: z.string(),
    }),
};
