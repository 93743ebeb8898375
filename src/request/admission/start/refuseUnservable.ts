import { StartBound } from "./startBound.ts";
import type { StartRefusal } from "./startRefusal.ts";
import type { StartRequest } from "./startRequest.ts";

/** Retry delay if the endpoints together do not hold the whole model: its layers are reassigned within seconds. */
const unservableRetryMilliseconds = 2_000;

/** Refuses a request that no endpoints could serve even if nothing else were running. Undefined for any other request. */
export function refuseUnservable(request: StartRequest<unknown>): StartRefusal | undefined {
    if (request.isServable()) {
        return undefined;
    }
    const pauseMilliseconds = request.getPauseRetryMilliseconds();
    const cause = pauseMilliseconds === undefined
        ? "the available endpoints together do not hold the whole model."
        : "its endpoints accept no requests for some time.";
    const retryMilliseconds = pauseMilliseconds ?? unservableRetryMilliseconds;
    return {
        kind: "refuse",
        cause,
        bound: pauseMilliseconds === undefined ? StartBound.Layers : StartBound.Pause,
        retryAfterMilliseconds: Math.min(retryMilliseconds, request.maximumRetryMilliseconds),
    };
}
