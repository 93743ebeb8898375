import { z } from "zod";

const seconds = z.number().nonnegative();
const fraction = z.number().min(0).max(1);

const burstSchema = z.strictObject({
    /** Start of the burst, in seconds since the start of the experiment. */
    from: seconds,
    to: seconds,
    /** Multiplier of the arrival rate. */
    factor: z.number().positive(),
    /** Rank of the route that has the burst. Default: all routes. */
    rank: z.number().int().nonnegative().optional(),
});

const routeSchema = z.strictObject({
    rank: z.number().int().nonnegative(),
    /** Share of the arrivals outside bursts. */
    share: fraction,
    /** Mean tokens of an answer. */
    answerTokens: z.number().positive(),
    targetLatencyMilliseconds: z.number().positive().default(500),
    /** Worth of an answer on time and of a late one. */
    worth: z.tuple([z.number(), z.number()]),
});

const faultSchema = z.strictObject({
    /** An endpoint that is `leaving` gets no new requests and finishes those that it runs. */
    kind: z.enum(["lost", "slow", "cut", "leaving"]),
    from: seconds,
    to: seconds,
    /** Probability that the fault affects an endpoint. */
    share: fraction,
    /** Affects each endpoint whose number is divisible by this, instead of endpoints at random. */
    every: z.number().int().positive().optional(),
    /** Slowdown factor; applies to `slow` only. */
    factor: z.number().min(1).default(1),
    /** Probability that a node can't reach the affected endpoints; applies to `cut` only. */
    nodeShare: fraction.default(1),
});

const groupSchema = z.strictObject({
    kind: z.enum(["fast", "middle", "slow"]),
    count: z.number().int().positive(),
    /** First layer that each endpoint of the group holds, and the layer after its last one. */
    layers: z.tuple([z.number().int().nonnegative(), z.number().int().positive()]),
    /** Index of the data centre of all its endpoints. Default: they are spread over the data centres. */
    dataCentre: z.number().int().nonnegative().optional(),
});

/** Schema of an experiment file: a deployment, its load and its faults. Times are in seconds. */
export const experimentSettingsSchema = z.strictObject({
    /** What the experiment tests, in one line. */
    purpose: z.string(),
    nodes: z.number().int().positive(),
    dataCentres: z.number().int().positive().default(3),
    /** Whether nodes exchange state as in a large deployment: in longer rounds, and with the hubs of their data centres. */
    hasHubs: z.boolean().default(false),
    /** Whether nodes poll the endpoints for their memory use and pass the readings on. */
    pollsEndpoints: z.boolean().default(false),
    /** Capacity that all links between data centres share. Default: that of the model. */
    linkMegabitsPerSecond: z.number().positive().optional(),
    durationSeconds: z.number().positive(),
    arrivalsPerSecond: z.number().positive(),
    /** Probability that a request comes from the large customer; the others come from nine small ones. */
    largeCustomerPart: fraction.default(0.1),
    /** Probability that a refused caller retries at once, regardless of the retry delay it is given. */
    impatientPart: fraction.default(0),
    /** Mean tokens of a prompt and of an answer. */
    promptTokens: z.number().positive().default(735),
    answerTokens: z.number().positive().default(198),
    bursts: z.array(burstSchema).default([]),
    /** Routes of different ranks. Default: one route with the mean answer above. */
    routes: z.array(routeSchema).default([]),
    faults: z.array(faultSchema).default([]),
    endpoints: z.array(groupSchema),
});

/** Settings of an experiment. */
export type ExperimentSettings = z.infer<typeof experimentSettingsSchema>;
