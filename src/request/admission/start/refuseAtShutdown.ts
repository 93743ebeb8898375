import { StartBound } from "./startBound.ts";
import type { StartRefusal } from "./startRefusal.ts";
import type { StartRequest } from "./startRequest.ts";

/** Retry delay while a node shuts down: other nodes may have free memory now. */
const retryMilliseconds = 300;

/** Refuses a request that still waits when this node ends. */
export function refuseAtShutdown({ maximumRetryMilliseconds }: StartRequest<unknown>): StartRefusal {
    return {
        kind: "refuse",
        cause: "this node is shutting down.",
        bound: StartBound.Capacity,
        retryAfterMilliseconds: Math.min(retryMilliseconds, maximumRetryMilliseconds),
    };
}
