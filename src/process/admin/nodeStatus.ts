import * as z from "zod";

/** Status that a node serves under `/status`. */
export interface NodeStatus {
    vm: string;
    dataCentre: string;
    ready: boolean;
    /** Why the node is not ready, or a short confirmation if it is. */
    reason: string;
    /** Version of the configuration in force on the node, or 0 if there is none. */
    configurationVersion: number;
    /** Id of the edit that created the configuration in force, or empty if there is none. */
    configurationEdit: string;
    runningRequests: number;
    queuedRequests: number;
    /** Time since the last response of the store, or undefined if there was none. */
    storeSilentMilliseconds?: number;
    /** Time since the last contact with a peer, or undefined if there was none. */
    peersSilentMilliseconds?: number;
    /** Upper bound of the throughput that the endpoints and links allow, or undefined before it is computed. */
    flowBoundTokensPerSecond?: number;
    /** Moving average of the tokens per second that the node generates. */
    tokensPerSecond: number;
    /** All nodes as the node sees them, including itself. */
    members: {
        vm: string;
        dataCentre: string;
        /** One of `alive`, `suspect`, `leaving` and `dead`. */
        state: string;
        /** Last known version of the configuration in force on the member. */
        configurationVersion: number;
    }[];
    /** All endpoints as the node sees them. */
    endpoints: {
        endpoint: string;
        /** One of `serving`, `leaving` and `unreachable`. */
        state: string;
    }[];
}

const version = z.int().min(0);

/** Schema of a {@link NodeStatus}. Unknown properties are ignored, so that other releases can add some. */
export const NodeStatus: { schema: z.ZodType<NodeStatus>; } = {
    schema: z.object({
        vm: z.string(),
        dataCentre: z.string(),
        ready: z.boolean(),
        reason: z.string(),
        configurationVersion: version,
        configurationEdit: z.string(),
        runningRequests: z.number(),
        queuedRequests: z.number(),
        storeSilentMilliseconds: z.number().optional(),
        peersSilentMilliseconds: z.number().optional(),
        flowBoundTokensPerSecond: z.number().optional(),
        tokensPerSecond: z.number(),
        members: z.array(z.object({
            vm: z.string(),
            dataCentre: z.string(),
            state: z.string(),
            configurationVersion: version,
        })),
        endpoints: z.array(z.object({ endpoint: z.string(), state: z.string() })),
    }),
};
