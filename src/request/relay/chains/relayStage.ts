import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";

/** A stage of a chain: the layers from `start` (inclusive) to `end` (exclusive), run by one endpoint. */
export interface RelayStage {
    endpoint: RegisteredEndpoint;
    start: number;
    end: number;
}
