import type { RoutingConfiguration } from "../../../version/routing/routingConfiguration.ts";

/**
 * Lists the ranks that requests for a service can have, from its routes and from the customers, highest priority first. Ranks are
 * told apart only where there are several.
 */
export function listServiceRanks(
    { routes, customers }: Pick<RoutingConfiguration, "routes" | "customers">,
    service: string,
): number[] {
    const serviceRoutes = routes.filter(({ services }) =>
        services.some(entry => entry.service === service && entry.weight > 0)
    );
    if (serviceRoutes.length === 0) {
        return [];
    }
    const ranks = new Set<number>();
    const hasUnrankedCustomers = customers.length === 0 || customers.some(({ rank }) => rank === undefined);
    for (const { priority, isPublic } of serviceRoutes) {
        // Where every customer has a rank, the priority of a route applies only to requests without a customer.
        if (hasUnrankedCustomers || isPublic) {
            ranks.add(priority);
        }
    }
    for (const { rank } of customers) {
        if (rank !== undefined) {
            ranks.add(rank);
        }
    }
    return [...ranks].sort((left, right) => left - right);
}
