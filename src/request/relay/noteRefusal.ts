import { events } from "../../process/logging/events.ts";
import { fullMemoryPart } from "./fullMemoryPart.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";

/** A refusal by an endpoint of a chain. */
interface EndpointRefusal {
    environment: Pick<RelayEnvironment, "clock" | "loads" | "health" | "log" | "refusals">;
    requestId: string;
    /** The endpoint that refused, or that the refusal names. */
    endpoint: RegisteredEndpoint;
    /** Status of its answer. */
    status: number;
    /** Part of its memory that is known to be taken. */
    memoryPart: number;
}

/** The endpoint isn't the one that was meant, or doesn't hold the layers. */
const misdirectedStatus = 421;

/**
 * Notes why an endpoint refused: whether it was full, or leaving or lost. One that is full serves others as before, and to
 * take it for lost would take its room from all nodes, at twice the load and more until little is left.
 * @returns Ids of endpoints that the next chain avoids.
 */
export function noteRefusal({ environment, requestId, endpoint, status, memoryPart }: EndpointRefusal): string[] {
    const { clock, loads, health, log, refusals } = environment;
    const now = clock.getMonotonicTime();
    if (status !== misdirectedStatus && memoryPart >= fullMemoryPart) {
        loads.noteFull(endpoint.id, now);
        log.write(events.endpointFull, { request: requestId, endpoint: endpoint.id, memoryPart });
        return [];
    }
    // It is leaving, lost, or gives its layers up, which its record may not show for seconds.
    health.addLoss(endpoint.id, now);
    void refusals.note(endpoint);
    return [endpoint.id];
}
