import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { EngineOrder, EngineStatus } from "../../connection/endpoint/engineProtocol.ts";
import type { Result } from "../../result.ts";
import type { Configuration } from "../../version/configuration.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { RandomSource } from "../randomSource.ts";
import type { OrderPolicy } from "./orderPolicy.ts";

/** Options of an {@link OrderDispatcher}. */
export interface OrderDispatcherOptions {
    /** Id of this node, used as the holder of the lease. */
    nodeId: string;
    store: PlatformStore;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    policy: OrderPolicy;
    getConfiguration(): Configuration;
    /** Gets the states of all endpoints as this node sees them. */
    getEndpointStates(): readonly EndpointState[];
    /**
     * Sends an order synchronously, without waiting for anything first, and times out within the longest time that an
     * order may take (3 s). The status is 200 if the engine accepted the order and 409 if its fencing number is
     * outdated. Returns undefined if the engine does not exist.
     */
    sendOrder(endpoint: string, order: EngineOrder): Promise<Result<number, { message: string; }>> | undefined;
    /** Reads an engine's status from the engine itself; undefined if the engine does not exist. */
    getStatus(endpoint: string): Promise<Result<EngineStatus, { message: string; }>> | undefined;
    /**
     * Checks if this node is the first owner of the duty to issue orders. A wrong answer only causes a delay, since the
     * lease decides who may send orders.
     */
    isDutyOwner(): boolean;
}
