import type { EndpointInstructions } from "../../connection/instructions/endpointInstructions.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { EndpointLosses } from "./endpointLosses.ts";
import type { EndpointRegistry } from "./endpointRegistry.ts";
import type { RoutingHolder } from "./routingHolder.ts";

/** Options of {@link ModelEndpoints}. */
interface ModelEndpointsOptions {
    routing: Pick<RoutingHolder, "getState">;
    registry: Pick<EndpointRegistry, "getEndpoints">;
    losses: Pick<EndpointLosses, "getLostEndpoints">;
    instructions: Pick<EndpointInstructions, "maySend">;
}

/** The services of models in the configuration in force, and their endpoints. */
export class ModelEndpoints {
    private readonly options: ModelEndpointsOptions;

    private constructor(options: ModelEndpointsOptions) {
        this.options = options;
    }

    /** Creates the listing, which keeps nothing itself. */
    static create(options: ModelEndpointsOptions): ModelEndpoints {
        return new ModelEndpoints(options);
    }

    /** Lists the services that have model engines. */
    listServices(): RoutedService[] {
        const services = this.options.routing.getState()?.configuration.services.values() ?? [];
        return [...services].filter(({ engine }) => engine !== undefined);
    }

    /** Lists the endpoints of a service that aren't lost by the evidence of nodes. */
    listPresent(service: string): RegisteredEndpoint[] {
        return this.listByLoss(service, false);
    }

    /** Lists the endpoints of a service that are lost by the evidence of nodes, although their records exist. */
    listLost(service: string): RegisteredEndpoint[] {
        return this.listByLoss(service, true);
    }

    /** Lists the endpoints of models, except those that want no requests from this node at the moment. */
    listPolled(): RegisteredEndpoint[] {
        const { registry, instructions } = this.options;
        const endpoints = this.listServices().flatMap(({ name }) => registry.getEndpoints(name));
        return endpoints.filter(({ id }) => instructions.maySend(id));
    }

    private listByLoss(service: string, areLost: boolean): RegisteredEndpoint[] {
        const { registry, losses } = this.options;
        const endpoints = registry.getEndpoints(service);
        const lost = losses.getLostEndpoints(endpoints.map(({ id }) => id));
        return endpoints.filter(({ id }) => lost.has(id) === areLost);
    }
}
