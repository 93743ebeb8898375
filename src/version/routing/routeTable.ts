import type { Route } from "./route.ts";

/** Finds routes by host and longest path prefix. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Map<string, Route>>();

    private constructor() {}

    /** Creates a table of routes. */
    static create(routes: Iterable<Route>): RouteTable {
        const table = new RouteTable();
        for (const route of routes) {
            table.add(route);
        }
        return table;
    }

    /**
     * Gets the route of a request.
     * @param host - Host as sent by the caller.
     * @param target - Path and query as sent by the caller.
     */
    getRoute(host: string, target: string): Route | undefined {
        const routes = this.routesByHost.get(host.toLowerCase());
        if (routes === undefined) {
            return undefined;
        }
        const queryStart = target.indexOf("?");
        const path = queryStart === -1 ? target : target.slice(0, queryStart);
        for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route !== undefined || end === 0) {
                return route;
            }
        }
        return undefined;
    }

    private add(route: Route): void {
        const routes = this.routesByHost.get(route.host);
        if (routes === undefined) {
            this.routesByHost.set(route.host, new Map([[route.prefix, route]]));
            return;
        }
        routes.set(route.prefix, route);
    }
}
