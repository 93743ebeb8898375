import type { StartRequest } from "../admission/start/startRequest.ts";
import type { RelayPlace } from "./relayPlace.ts";

/** A request that asks for a chain, and what is to be done once that is decided. */
export interface QueuedRelay extends StartRequest<RelayPlace> {
    requestId: string;
    /** A chain is taken for it. */
    start(place: RelayPlace): void;
    /** It is turned away. */
    refuse(cause: string, retryAfterMilliseconds: number): void;
}
