import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";

/** A failing endpoint costs up to this many times what a sound one does. */
const failureWeight = 8;
/** An endpoint of another data centre costs this much more, as a part of a place: two crossings against its work. */
const crossingCost = 0.1;
/** Makes nodes that decide at the same moment differ; in parts of a place. */
const noise = 0.15;

/**
 * Chooses the endpoint of a document service with the least load for its places, weighed by how often it failed lately.
 * An endpoint that is taken as lost is chosen only where there is no other.
 * @param environment - Loads and health.
 * @param endpoints - Endpoints to choose from.
 */
export function chooseEndpoint(
    environment: RelayEnvironment,
    endpoints: readonly RegisteredEndpoint[],
): RegisteredEndpoint | undefined {
    const now = environment.clock.getMonotonicTime();
    const sound = endpoints.filter(({ id }) => !environment.health.isSuspect(id, now));
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const endpoint of sound.length > 0 ? sound : endpoints) {
        const cost = getCost(environment, endpoint, now);
        if (cost < bestCost) {
            bestCost = cost;
            best = endpoint;
        }
    }
    return best;
}

function getCost(environment: RelayEnvironment, endpoint: RegisteredEndpoint, now: number): number {
    const { requests } = environment.loads.getLoad(endpoint.id);
    const failures = environment.health.getFailureShare(endpoint.id, now);
    const crossing = endpoint.dataCentre === environment.dataCentre ? 0 : crossingCost;
    const load = (requests + 1) / Math.max(1, endpoint.slots);
    return load * (1 + failureWeight * failures) * environment.directory.getSlowness(endpoint.id) + crossing
        + noise * environment.random();
}
