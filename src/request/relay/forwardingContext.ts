import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayStage } from "./relayStage.ts";

/** What goes to an endpoint beside the caller's request. */
export interface ForwardingContext {
    /** The endpoint that the request is meant for; any other one refuses it. */
    endpoint: RegisteredEndpoint;
    /** Name of the customer that holds the request's key. */
    customer: string | undefined;
    /** Time that is left for the answer, in milliseconds. */
    remainingMilliseconds: number;
    /** The chain that the request passes through; undefined for a document service. */
    stages?: RelayStage[];
    /** Id of the last event that the caller has; 0 where it has none. */
    lastEventId: number;
}
