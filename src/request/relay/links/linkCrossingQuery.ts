import type { EngineModel } from "../../../version/routing/engineModel.ts";

/** A request that would use a link between data centres. */
export interface LinkCrossingQuery {
    from: string;
    to: string;
    model: EngineModel;
    promptTokens: number;
    /** Time since the request arrived, or since the last event of a running stream, in milliseconds. */
    elapsedMilliseconds: number;
    /** Latency objective of the first event, in milliseconds. */
    objectiveMilliseconds: number;
    /** Time for which the queue may keep the request without making it late, in milliseconds; 0 or less if it is late. */
    onTimeWaitMilliseconds: number;
    /** Time without an event after which the caller leaves, in milliseconds. */
    waitLimitMilliseconds: number;
    /** Whether the request is late already, because its caller sends it again after a refusal. */
    isReturn: boolean;
    /** Whether the request is a running stream, which does not wait for a share of the link. */
    isRunning: boolean;
    /** Number of times that the stream has been sent over the link. */
    beginCount: number;
    /** Whether no data centre is complete, so that the requests of all nodes need a link. */
    isOnlyChoice: boolean;
}
