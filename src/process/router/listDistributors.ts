import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listHubs } from "./listHubs.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/**
 * Lists the nodes from which all others get store updates: the store watchers and the hubs of all data centres.
 * @param own - The node that asks; it is not in the result.
 * @param others - The other live nodes.
 * @param owners - Assigns duties to nodes without coordination.
 * @returns Their addresses, as host:port.
 */
export function listDistributors(
    own: Pick<KnownNode, "nodeId" | "dataCentre" | "isWithoutStore">,
    others: readonly KnownNode[],
    owners: Pick<RendezvousOwners, "getOwners">,
): string[] {
    const distributors = new Set(listStoreWatchers([...others, own], owners).watching);
    for (const [dataCentre, nodes] of Map.groupBy([...others, own], node => node.dataCentre)) {
        for (const hub of listHubs(dataCentre, nodes.map(({ nodeId }) => nodeId), owners)) {
            distributors.add(hub);
        }
    }
    return others.filter(({ nodeId }) => distributors.has(nodeId)).map(({ address }) => address);
}
