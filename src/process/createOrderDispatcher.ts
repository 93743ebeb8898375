import type { EndpointDirectory } from "../connection/endpoint/endpointDirectory.ts";
import type { Configuration } from "../version/configuration.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { getAssignableNodeIds } from "./membership/getAssignableNodeIds.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import { OrderDispatcher } from "./orders/orderDispatcher.ts";
import { OrderPolicy } from "./orders/orderPolicy.ts";
import type { PlatformStore } from "./platform/platformStore.ts";
import type { RandomSource } from "./randomSource.ts";

/** Parts of a node that the order dispatcher uses. */
interface OrderParts {
    nodeId: string;
    store: PlatformStore;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    view: MembershipView;
    owners: RendezvousOwners;
    directory: EndpointDirectory;
    getConfiguration(): Configuration;
}

const dutyKey = "orders";

/** Creates the dispatcher of orders to engines. Among the live nodes, the owner of the duty tries to acquire the lease. */
export function createOrderDispatcher(parts: OrderParts): OrderDispatcher {
    const { nodeId, store, clock, random, log, view, owners, directory, getConfiguration } = parts;
    return OrderDispatcher.create({
        nodeId,
        store,
        clock,
        random,
        log,
        policy: OrderPolicy,
        getConfiguration,
        getEndpointStates: () => directory.getStates(),
        sendOrder: (endpoint, order) => directory.getEngine(endpoint)?.sendOrder(order),
        getStatus: endpoint => directory.getEngine(endpoint)?.getStatus(),
        isDutyOwner: () => {
            const nodeIds = getAssignableNodeIds(view);
            return owners.getOwners(dutyKey, nodeIds, 1)[0] === nodeId;
        },
    });
}
