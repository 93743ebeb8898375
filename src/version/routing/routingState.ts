import { listServiceRanks } from "../../request/admission/ranks/listServiceRanks.ts";
import type { Route } from "./route.ts";
import { RouteTable } from "./routeTable.ts";
import type { RoutingConfiguration } from "./routingConfiguration.ts";

/** A routing configuration with the indexes to look up requests. Immutable. */
export class RoutingState {
    readonly configuration: RoutingConfiguration;
    private readonly routes: RouteTable;
    private readonly customerByKey = new Map<string, string>();
    private readonly rankByCustomer = new Map<string, number>();
    private readonly ranksByService = new Map<string, readonly number[]>();

    private constructor(configuration: RoutingConfiguration) {
        this.configuration = configuration;
        this.routes = RouteTable.create(configuration.routes);
        for (const customer of configuration.customers) {
            if (customer.rank !== undefined) {
                this.rankByCustomer.set(customer.name, customer.rank);
            }
            for (const key of customer.apiKeys) {
                this.customerByKey.set(key, customer.name);
            }
        }
        for (const service of configuration.services.keys()) {
            this.ranksByService.set(service, listServiceRanks(configuration, service));
        }
    }

    /** Creates the indexes of a configuration. */
    static create(configuration: RoutingConfiguration): RoutingState {
        return new RoutingState(configuration);
    }

    /** Gets the route of a request by its host and its path with query. */
    getRoute(host: string, target: string) {
        return this.routes.getRoute(host, target);
    }

    /** Gets the name of the customer that an API key belongs to. */
    getCustomer(apiKey: string): string | undefined {
        return this.customerByKey.get(apiKey);
    }

    /** Gets the rank of a customer's requests on a route: that of the customer if it has one. Lower ranks go first. */
    getRank(customer: string | undefined, route: Pick<Route, "priority">): number {
        const rank = customer === undefined ? undefined : this.rankByCustomer.get(customer);
        return rank ?? route.priority;
    }

    /** Gets the ranks that requests for a service can have, in ascending order. */
    getRanks(service: string): readonly number[] {
        return this.ranksByService.get(service) ?? [];
    }

    /** Checks if requests need an API key unless their route is public. */
    needsKey(): boolean {
        return this.configuration.customers.length > 0;
    }
}
