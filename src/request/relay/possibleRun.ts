import type { RegisteredEndpoint } from "./endpoints/registeredEndpoint.ts";

/** An attempt of a request that its endpoint may run. */
export interface PossibleRun {
    /** The endpoint that received the request from a node, which is the first stage of a chain. */
    endpoint: RegisteredEndpoint;
    /** Whether the connection failed or was closed by the endpoint after the request was sent. */
    isBroken: boolean;
    /** Gets the monotonic time in milliseconds from which bytes of the request may have been sent; undefined if none were. */
    getSentTime(): number | undefined;
}
