import { RefusalReason } from "../../request/relay/answers/refusalReason.ts";
import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Route } from "../../version/routing/route.ts";
import type { RoutingState } from "../../version/routing/routingState.ts";

/** What a configuration knows of a request. */
interface IdentifiedRequest {
    route: Route;
    /** Name of the customer; undefined if the request needs none. */
    customer: string | undefined;
}

/**
 * Finds the route and the customer of a request.
 * @returns These, or the refusal of a request that the configuration doesn't know.
 */
export function identifyRequest(
    state: RoutingState,
    { host, target, apiKey }: Pick<RoutedRequest, "host" | "target" | "apiKey">,
): Result<IdentifiedRequest, RelayRefusal> {
    const route = state.getRoute(host, target);
    if (route === undefined) {
        const message = "No route fits the host and path. Check them.";
        return Err({ reason: RefusalReason.NoRoute, message });
    }
    const customer = state.getCustomer(apiKey ?? "");
    if (customer === undefined && state.needsKey() && !route.isPublic) {
        const message = "No customer has this API key. Check it.";
        return Err({ reason: RefusalReason.UnknownKey, message });
    }
    return Ok({ route, customer });
}
