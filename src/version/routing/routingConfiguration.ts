import type { Route } from "./route.ts";
import type { RoutedService } from "./routedService.ts";

/** A customer and its API keys. */
interface RoutingCustomer {
    name: string;
    apiKeys: string[];
    /** Priority of its requests, which overrides that of their routes. Lower values go first. */
    rank: number | undefined;
}

/** Limits of requests from callers. */
interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
}

/** One complete version of the routing configuration. */
export interface RoutingConfiguration {
    /** Increases with each change. */
    version: number;
    routes: Route[];
    /** Services by name. */
    services: ReadonlyMap<string, RoutedService>;
    customers: RoutingCustomer[];
    limits: CallerLimits;
}
