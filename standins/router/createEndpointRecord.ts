/** What an endpoint writes of itself. */
interface EndpointRecordOptions {
    service: string;
    /** host:port. */
    address: string;
    /** `ready` or `draining`. Default: `ready`. */
    state?: string;
    /** Requests that it runs at the same time. Default: 6. */
    slots?: number;
    /** Layers that a stage of the model holds; null where it holds none yet, undefined for other endpoints. */
    layers?: { from: number; to: number; } | null;
    /** When it started, in Unix milliseconds. Default: 1,000. */
    born?: number;
}

/** Creates the record that an endpoint writes into the platform's store. */
export function createEndpointRecord(options: EndpointRecordOptions): Record<string, unknown> {
    const { service, address, state = "ready", slots = 6, layers, born = 1_000 } = options;
    return {
        service,
        address,
        zone: "a",
        version: "v1",
        slots,
        state,
        cold_left_ms: 0,
        sequence: 77,
        born,
        ...(layers === undefined ? {} : { kind: "big", layers }),
    };
}
