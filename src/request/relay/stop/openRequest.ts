import type { OpenRequestState } from "./openRequestState.ts";

/** A request that has no final answer yet. */
export interface OpenRequest {
    /** Gets what happens to it. */
    getState(): OpenRequestState;
    /** Gets the time that its answer needs, in milliseconds. */
    getNeededTime(): number;
    /** Ends it because this node ends. */
    endAtStop(): void;
}
