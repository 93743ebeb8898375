import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/**
 * Checks if a node calls the store itself, see {@link listStoreWatchers}.
 * @param own - The node.
 * @param others - The other live nodes.
 * @param owners - Assigns duties to nodes without coordination.
 */
export function isStoreWatcher(
    own: Pick<KnownNode, "nodeId" | "isWithoutStore">,
    others: readonly KnownNode[],
    owners: Pick<RendezvousOwners, "getOwners">,
): boolean {
    const { watching, refused } = listStoreWatchers([...others, own], owners);
    return watching.includes(own.nodeId) || refused.includes(own.nodeId);
}
