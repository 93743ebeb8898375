import type { RegisteredEndpoint } from "./registeredEndpoint.ts";

/** A part of a chain: the layers from `start` up to but not including `end`, run by one endpoint. */
export interface RelayStage {
    endpoint: RegisteredEndpoint;
    start: number;
    end: number;
}
