import type { OpenRequestState } from "./openRequestState.ts";

/** Creates the cause with which a request ends at the stop of its node. */
export function createStopCause(state: OpenRequestState): string {
    return `this node is shutting down. The request was ${state}.`;
}
