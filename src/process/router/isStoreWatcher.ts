import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/**
 * Decides whether a node follows the store itself; see {@link listStoreWatchers}.
 * @param nodeId - The node.
 * @param isWithoutStore - Whether the store refuses the node itself. It tries on, since it may be the only one left, and learns
 * that way when it is served again.
 * @param others - The other nodes that live.
 * @param owners - Assigns duties to nodes without agreement.
 */
export function isStoreWatcher(
    nodeId: string,
    isWithoutStore: boolean,
    others: readonly KnownNode[],
    owners: RendezvousOwners,
): boolean {
    return isWithoutStore || listStoreWatchers([...others, { nodeId, isWithoutStore }], owners).includes(nodeId);
}
