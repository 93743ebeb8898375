import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";

/** A registered endpoint and where its incarnation comes from. */
interface RegistryEntry {
    endpoint: RegisteredEndpoint;
    /** Whether the incarnation comes from a report instead of the endpoint's record. */
    isIncarnationReported: boolean;
}

/**
 * Finds the endpoints at whose address another one has started later. Only one process can listen at an address, so such an endpoint is
 * gone, although its record may exist for seconds.
 * @param entries - The registered endpoints. Those of unknown incarnation are never replaced.
 */
export function findReplacedEndpoints(entries: Iterable<RegistryEntry>): ReadonlySet<RegisteredEndpoint> {
    const latest = new Map<string, RegistryEntry>();
    const replaced = new Set<RegisteredEndpoint>();
    for (const entry of entries) {
        const { endpoint } = entry;
        const other = latest.get(endpoint.address);
        if (other === undefined) {
            latest.set(endpoint.address, entry);
        }
        else if (isLater(entry, other)) {
            latest.set(endpoint.address, entry);
            replaced.add(other.endpoint);
        }
        else if (isLater(other, entry)) {
            replaced.add(endpoint);
        }
    }
    return replaced;
}

/** Checks if an entry replaces another one. A report may bring the incarnation of another endpoint at the address, a record doesn't. */
function isLater({ endpoint, isIncarnationReported }: RegistryEntry, other: RegistryEntry): boolean {
    const difference = endpoint.incarnation - other.endpoint.incarnation;
    const isSameStart = difference === 0 && !isIncarnationReported && other.isIncarnationReported;
    return other.endpoint.incarnation !== 0 && (difference > 0 || isSameStart);
}
