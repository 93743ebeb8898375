import type { StartBound } from "../../admission/start/startBound.ts";
import type { StartRequest } from "../../admission/start/startRequest.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";

/** A request that needs a chain, with the callbacks for the queue's decision. */
export interface QueuedRelay extends StartRequest<ReservedChain> {
    requestId: string;
    /** Whether its service has requests of several ranks. */
    isRanked?: boolean;
    /** Called with the chain that was reserved for the request. */
    start(reservedChain: ReservedChain): void;
    /** Called when the request is rejected. */
    refuse(cause: string, retryAfterMilliseconds: number, bound: StartBound): void;
}
