import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { LayerOrder } from "../../request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { RoutedService } from "../../version/routing/routedService.ts";
import type { Clock } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { PlatformStore } from "../platform/platformStore.ts";

/** Options of a `PlacementController`. */
export interface PlacementControllerOptions {
    store: Pick<PlatformStore, "get" | "compareAndSwap">;
    lease: Pick<FencedLease, "getFencingNumber" | "getLastNumber" | "isLastHolder">;
    /** Checks if neither this node nor any other that could acquire the lease can reach the store. */
    isStoreLost(): boolean;
    /** Checks if this node would try to acquire the lease when orders are due. */
    isCandidate(): boolean;
    clock: Clock;
    /** Runs a synchronous task that may take long; see `EventLoopMonitor.run`. */
    runLong<Result>(name: string, action: () => Result): Result;
    log: EventLog;
    /** Prefix of the keys of plans in the store, followed by the name of the service. */
    keyPrefix: string;
    /** Gets the services that have model engines. */
    getModelServices(): RoutedService[];
    /** Gets the endpoints of a service that are not draining. */
    getEndpoints(service: string): readonly RegisteredEndpoint[];
    /** Gets the endpoints of a service that are lost by the evidence of nodes, although their records exist. */
    getLostEndpoints(service: string): readonly RegisteredEndpoint[];
    sendOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined>;
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Called when there is something to order, so that the lease is acquired at once. */
    onWork(): void;
    /** Called at the first order after there was nothing to order, with the time since then in milliseconds. */
    onFirstOrder(milliseconds: number): void;
}
