import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";

/** So many watch at least; each further watcher costs calls to the store. */
const fewestWatchers = 2;
/** One more watcher for so many nodes, so that the loss of many at once leaves some. */
const nodesOfWatcher = 25;
const watchKey = "store";

/**
 * Decides whether a node follows the store itself. Others hear of changes from their peers. Nodes that the store refuses
 * don't count, so that others take their place.
 * @param nodeId - The node.
 * @param isWithoutStore - Whether the store refuses the node itself.
 * @param others - The other nodes that live.
 * @param owners - Assigns duties to nodes without agreement.
 */
export function isStoreWatcher(
    nodeId: string,
    isWithoutStore: boolean,
    others: readonly KnownNode[],
    owners: RendezvousOwners,
): boolean {
    const nodeCount = others.length + 1;
    const watchers = fewestWatchers + Math.ceil(nodeCount / nodesOfWatcher);
    const able = others.filter(node => !node.isWithoutStore).map(node => node.nodeId);
    if (isWithoutStore) {
        // It tries on, since it may be the only one left, and learns that way when it is served again.
        return true;
    }
    return owners.getOwners(watchKey, [...able, nodeId], watchers).includes(nodeId);
}
