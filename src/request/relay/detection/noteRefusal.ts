import { events } from "../../../process/logging/events.ts";
import { fullMemoryFraction } from "../chains/fullMemoryFraction.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";

/** Refusal of a request by an endpoint of a chain. */
interface EndpointRefusal {
    environment: Pick<RelayEnvironment, "clock" | "loads" | "health" | "log" | "refusalDetector" | "instructions">;
    requestId: string;
    /** The endpoint that refused, or that the refusal names. */
    endpoint: RegisteredEndpoint;
    /** Status of its answer. */
    status: number;
    /** Known fraction of its memory that is in use. */
    memoryPart: number;
}

/** Status of an endpoint that isn't the intended one, or that doesn't hold the layers. */
const misdirectedStatus = 421;

/**
 * Records why an endpoint refused a request: it is full, or else it is leaving or down. A full endpoint still serves other
 * requests. If it counted as down, all nodes would lose its capacity, and under an overload of twice the capacity and more
 * this would happen to one endpoint after another.
 * @returns Ids of endpoints that the next chain must avoid.
 */
export function noteRefusal({ environment, requestId, endpoint, status, memoryPart }: EndpointRefusal): string[] {
    const { clock, loads, health, log, refusalDetector, instructions } = environment;
    const now = clock.getMonotonicTime();
    if (status !== misdirectedStatus && memoryPart >= fullMemoryFraction) {
        loads.markFull(endpoint.id, now);
        log.write(events.endpointFull, { request: requestId, endpoint: endpoint.id, memoryPart });
        return [];
    }
    // The endpoint is leaving, down, or unloads its layers, which its record may not show for seconds.
    health.markRejecting(endpoint.id, now);
    if (instructions.maySend(endpoint.id)) {
        void refusalDetector.check(endpoint);
    }
    return [endpoint.id];
}
