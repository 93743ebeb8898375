import type { StartRequest } from "../admission/start/startRequest.ts";
import type { RelayPlace } from "./relayPlace.ts";

/** A request that needs a chain, with the callbacks for the queue's decision. */
export interface QueuedRelay extends StartRequest<RelayPlace> {
    requestId: string;
    /** Called with the chain that was reserved for the request. */
    start(place: RelayPlace): void;
    /** Called when the request is rejected. */
    refuse(cause: string, retryAfterMilliseconds: number): void;
}
