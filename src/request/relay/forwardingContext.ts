import type { RelayStage } from "./chains/relayStage.ts";
import type { RegisteredEndpoint } from "./endpoints/registeredEndpoint.ts";

/** Data that is sent to an endpoint along with the caller's request. */
export interface ForwardingContext {
    /** The intended endpoint; any other endpoint refuses the request. */
    endpoint: RegisteredEndpoint;
    /** Name of the customer that owns the request's API key; undefined if the request has no known key. */
    customer: string | undefined;
    /** Remaining time for the answer, in milliseconds. */
    remainingMilliseconds: number;
    /** Stages of the chain that runs the request, in order; undefined for a document service. */
    stages?: RelayStage[];
    /** Id of the last event that the caller has received; 0 if none. */
    lastEventId: number;
    /** Urgency of the request at the endpoint, 0 (first) to 9; undefined where its service has requests of one rank. */
    urgency?: number | undefined;
}
