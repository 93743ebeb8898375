import { createLoadStatus } from "./createLoadStatus.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import type { RouterParts } from "./routerParts.ts";

/**
 * Creates the status of a router node for operators.
 * @param node - Options of the node.
 * @param parts - Parts of the node; they are only read.
 * @param isReady - Whether the load balancer should send callers to the node.
 */
export function createRouterStatus(
    { nodeId, clock, store }: Pick<RouterNodeOptions, "nodeId" | "clock" | "store">,
    parts: RouterParts,
    isReady: boolean,
): object {
    const { liveNodes, overload, queue, endpoints, routing, replica, lease, storeWatch, environment } = parts;
    const { rankReserve, refusals } = queue;
    const { registry, instructions, losses } = endpoints;
    const loadSources = {
        rankReserve,
        refusals,
        linkAdmission: environment.links,
        losses,
        storeWatch,
        lease,
        overload,
        nodeCount: liveNodes.getCount(),
    };
    return {
        node: nodeId,
        configurationVersion: routing.getState()?.configuration.version,
        isReady,
        hasPlacementDuty: lease.isHeld(),
        peers: liveNodes.getOthers(),
        endpoints: registry.getAll(),
        endpointInstructions: instructions.getStatus(),
        storeEra: store.getEra(),
        storeCopyAgeMilliseconds: replica.getState().copyAgeMilliseconds,
        load: createLoadStatus(loadSources, clock.getMonotonicTime()),
    };
}
