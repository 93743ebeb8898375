import { z } from "zod";

const seconds = z.number().nonnegative();
const part = z.number().min(0).max(1);

const burstSchema = z.strictObject({
    /** Seconds from the start. */
    from: seconds,
    to: seconds,
    /** Times the usual arrivals. */
    factor: z.number().positive(),
});

const faultSchema = z.strictObject({
    kind: z.enum(["lost", "slow", "cut"]),
    from: seconds,
    to: seconds,
    /** Part of the endpoints that it strikes. */
    share: part,
    /** Times as slow; of `slow` only. */
    factor: z.number().min(1).default(1),
    /** Part of the nodes from which the endpoints can't be reached; of `cut` only. */
    nodeShare: part.default(1),
});

const groupSchema = z.strictObject({
    kind: z.enum(["fast", "middle", "slow"]),
    count: z.number().int().positive(),
    /** Layers that each endpoint of the group holds, the second one not included. */
    layers: z.tuple([z.number().int().nonnegative(), z.number().int().positive()]),
});

/** The file of an experiment: a deployment, its load and its faults. Times are in seconds. */
export const experimentSettingsSchema = z.strictObject({
    /** What the load is for, in a line. */
    purpose: z.string(),
    nodes: z.number().int().positive(),
    durationSeconds: z.number().positive(),
    arrivalsPerSecond: z.number().positive(),
    /** Part of the requests that come from one customer; the others come from nine. */
    largeCustomerPart: part.default(0.1),
    /** Part of the callers that come back at once, whatever they are told. */
    impatientPart: part.default(0),
    /** Mean tokens of a prompt and of an answer. */
    promptTokens: z.number().positive().default(735),
    answerTokens: z.number().positive().default(198),
    bursts: z.array(burstSchema).default([]),
    faults: z.array(faultSchema).default([]),
    endpoints: z.array(groupSchema),
});

/** The file of an experiment. */
export type ExperimentSettings = z.infer<typeof experimentSettingsSchema>;
