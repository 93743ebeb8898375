import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";

/** An endpoint that always fails costs `1 + failureWeight` times as much as one that never does. */
const failureWeight = 8;
/** Cost of an endpoint in another data centre, as a load: the request and its answer cross the link between them. */
const crossDataCentreCost = 0.1;
/** Maximum random cost, as a load, so that nodes that choose at the same moment don't all choose the same endpoint. */
const maximumNoiseCost = 0.15;

/**
 * Chooses the endpoint of a document service with the least cost: its load per slot, weighted by its recent failures and its
 * slowness. Suspect endpoints are chosen only if there are no others.
 * @param environment - Provides the loads and the health of endpoints.
 * @param endpoints - Endpoints to choose from.
 */
export function chooseEndpoint(
    environment: RelayEnvironment,
    endpoints: readonly RegisteredEndpoint[],
): RegisteredEndpoint | undefined {
    const now = environment.clock.getMonotonicTime();
    const healthy = endpoints.filter(({ id }) => !environment.health.isSuspect(id, now));
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const endpoint of healthy.length > 0 ? healthy : endpoints) {
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
    const failureShare = environment.health.getFailureShare(endpoint.id, now);
    const linkCost = endpoint.dataCentre === environment.dataCentre ? 0 : crossDataCentreCost;
    const load = (requests + 1) / Math.max(1, endpoint.slots);
    return load * (1 + failureWeight * failureShare) * environment.directory.getSlowness(endpoint.id) + linkCost
        + maximumNoiseCost * environment.random();
}
