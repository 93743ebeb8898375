import { z } from "zod";

/** What a node answers under /status. */
export interface NodeStatus {
    vm: string;
    dataCentre: string;
    ready: boolean;
    /** Why the node is not ready, or what it is ready with. */
    reason: string;
    /** Version of the configuration in force on the node; 0 where there is none. */
    configurationVersion: number;
    /** Name of the edit that brought the configuration in force; empty where there is none. */
    configurationEdit: string;
    runningRequests: number;
    queuedRequests: number;
    /** Time since the store last answered, in milliseconds; undefined where it never has. */
    storeSilentMilliseconds?: number;
    /** Time since a peer was last heard, in milliseconds; undefined where none ever was. */
    peersSilentMilliseconds?: number;
    /** Tokens a second that the endpoints and links allow at most; undefined while not known. */
    flowBoundTokensPerSecond?: number;
    /** Tokens a second that this node has lately answered. */
    tokensPerSecond: number;
    /** The node's view of all nodes, itself included. */
    members: {
        vm: string;
        dataCentre: string;
        /** alive, suspect, leaving or dead. */
        state: string;
        /** Version that the member had in force when it was last heard of. */
        configurationVersion: number;
    }[];
    /** The node's view of all endpoints. */
    endpoints: {
        endpoint: string;
        /** serving, leaving or unreachable. */
        state: string;
    }[];
}

const version = z.int().min(0);

/** Shape of {@link NodeStatus}. Further members are ignored, so that other releases can add some. */
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
