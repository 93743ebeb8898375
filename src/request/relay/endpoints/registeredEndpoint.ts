import type { EndpointAddress } from "../../../connection/endpoint/endpointAddress.ts";
import type { HeldLayers } from "./heldLayers.ts";

/** An endpoint as it registered itself in the platform's store. */
export interface RegisteredEndpoint {
    /** Registered id and incarnation, so that it is new with each start of the endpoint. */
    id: string;
    /** Id under which it registered. An endpoint may restart under the same id. */
    registeredId: string;
    /** Start time in Unix milliseconds, so that a later start has a higher value; 0 if unknown. */
    incarnation: number;
    service: string;
    /** host:port. */
    address: EndpointAddress;
    dataCentre: string;
    /** Maximum number of concurrent requests. */
    slots: number;
    /** Whether it is shutting down and accepts no new requests. */
    isDraining: boolean;
    /** Name of the accelerator kind; undefined for an endpoint of a document service. */
    kind: string | undefined;
    /** Layers that it has loaded; undefined if none. */
    layers: HeldLayers | undefined;
}
