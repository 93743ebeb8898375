import { OpenRequestState } from "./openRequestState.ts";

/** What decides on a request of a node that stops. */
interface StoppingRequest {
    state: OpenRequestState;
    /** Time that its answer needs, in milliseconds. */
    neededMilliseconds: number;
    /** Time until the node ends its requests, in milliseconds. */
    remainingMilliseconds: number;
}

/**
 * Decides if a request is to be ended before its node ends. Its caller can send it to another node, which has the time to answer it. One that
 * an endpoint runs, or of which a part was sent, may still be completed, and goes on until the end.
 */
export function shouldEndAtStop({ state, neededMilliseconds, remainingMilliseconds }: StoppingRequest): boolean {
    return state === OpenRequestState.Waiting && neededMilliseconds > remainingMilliseconds;
}
