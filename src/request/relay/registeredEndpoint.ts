import type { HeldLayers } from "./heldLayers.ts";

/** An endpoint as it registered itself in the platform's store. */
export interface RegisteredEndpoint {
    /** New with each start of the endpoint: its registered id and its incarnation. */
    id: string;
    /** Id under which it registered; an endpoint may start again under the id that it had. */
    registeredId: string;
    /** When it started, in Unix milliseconds: the higher one is the later start; 0 where it doesn't say. */
    incarnation: number;
    service: string;
    /** host:port. */
    address: string;
    dataCentre: string;
    /** Requests that it runs at the same time. */
    slots: number;
    /** Whether it is leaving and takes no new requests. */
    isDraining: boolean;
    /** Name of its kind of accelerator; undefined for an endpoint of a document service. */
    kind: string | undefined;
    /** Layers that it holds; undefined while it holds none. */
    layers: HeldLayers | undefined;
}
