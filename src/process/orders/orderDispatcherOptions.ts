import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { EngineOrder, EngineStatus } from "../../connection/endpoint/engineProtocol.ts";
import type { Result } from "../../result.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { RandomSource } from "../randomSource.ts";
import type { OrderPolicy } from "./orderPolicy.ts";

/** Settings of an {@link OrderDispatcher}. */
export interface OrderDispatcherOptions {
    /** Name of this node, as the holder of the lease. */
    nodeId: string;
    store: PlatformStore;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    policy: OrderPolicy;
    getConfiguration(): Configuration;
    /** Gets what this node believes of all endpoints. */
    getEndpointStates(): readonly EndpointState[];
    /**
     * Sends an order at once: it may not wait before it does, and must give up within the longest order, 3 s. The status
     * is 200 where the engine took the order, 409 where it found its fencing number old; undefined where there is no such
     * engine.
     */
    sendOrder(endpoint: string, order: EngineOrder): Promise<Result<number, { message: string; }>> | undefined;
    /** Reads an engine's own status; undefined where there is no such engine. */
    getStatus(endpoint: string): Promise<Result<EngineStatus, { message: string; }>> | undefined;
    /** Whether this node is the first owner of the duty to issue orders. A wrong answer costs time only. */
    isDutyOwner(): boolean;
}
