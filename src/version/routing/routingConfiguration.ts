import type { Route } from "./route.ts";
import type { RoutedService } from "./routedService.ts";

/** A customer and its API keys. */
interface RoutingCustomer {
    name: string;
    apiKeys: string[];
    /** Rank of its requests, before that of their routes; undefined where they have the routes'. */
    rank: number | undefined;
}

/** What a caller may send, and how long it may take. */
interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
}

/** One version of what the operators want routed, in full. */
export interface RoutingConfiguration {
    /** Grows with each change. */
    version: number;
    routes: Route[];
    /** By name. */
    services: ReadonlyMap<string, RoutedService>;
    customers: RoutingCustomer[];
    limits: CallerLimits;
}
