/** Options of {@link createEndpointRecord}. */
interface EndpointRecordOptions {
    service: string;
    /** Address of the endpoint as host:port. */
    address: string;
    /** `ready` or `draining`. Default: `ready`. */
    state?: string;
    /** Maximum number of concurrent requests. Default: 6. */
    slots?: number;
    /** Layers of the model that the endpoint holds: null if none yet, undefined for an endpoint without a model. */
    layers?: { from: number; to: number; } | null;
    /** Start time of the endpoint, in Unix milliseconds. Default: 1,000. */
    born?: number;
    /** Default: `a`. */
    dataCentre?: string;
}

/** Creates the record that an endpoint writes to the platform's store. */
export function createEndpointRecord(options: EndpointRecordOptions): Record<string, unknown> {
    const { service, address, state = "ready", slots = 6, layers, born = 1_000, dataCentre = "a" } = options;
    return {
        service,
        address,
        zone: dataCentre,
        version: "v1",
        slots,
        state,
        cold_left_ms: 0,
        sequence: 77,
        born,
        ...(layers === undefined ? {} : { kind: "big", layers }),
    };
}
