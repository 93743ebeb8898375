import type { RoutingConfiguration } from "../../version/routing/routingConfiguration.ts";

/**
 * Finds the lowest rank of the requests of each service, which is the highest number. Services whose requests all have the same rank are
 * left out, since none of them is less urgent than others.
 * @returns Ranks by name of the service.
 */
export function findLowestRanks({ routes, customers }: RoutingConfiguration): Map<string, number> {
    const ranks = new Map<string, Set<number>>();
    for (const route of routes) {
        const ranksOfRoute = customers.map(({ rank }) => rank ?? route.priority);
        if (route.isPublic || customers.length === 0) {
            ranksOfRoute.push(route.priority);
        }
        for (const { service } of route.services) {
            ranks.set(service, new Set([...ranks.get(service) ?? [], ...ranksOfRoute]));
        }
    }
    const lowest = new Map<string, number>();
    for (const [service, ranksOfService] of ranks) {
        if (ranksOfService.size > 1) {
            lowest.set(service, Math.max(...ranksOfService));
        }
    }
    return lowest;
}
