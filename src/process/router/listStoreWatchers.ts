import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";

/** A node that may follow the store. */
type Watcher = Pick<KnownNode, "nodeId" | "isWithoutStore">;

/** So many watch at least; each further watcher costs calls to the store. */
const fewestWatchers = 2;
/** One more watcher for so many nodes, so that the loss of many at once leaves some; each change costs a call a watcher. */
const nodesOfWatcher = 100;
const watchKey = "store";

/**
 * Lists the nodes that follow the store itself. Others hear of changes from their peers. Nodes that the store refuses don't count,
 * so that others take their place.
 * @param nodes - The nodes that live.
 * @param owners - Assigns duties to nodes without agreement.
 * @returns Their ids.
 */
export function listStoreWatchers(nodes: readonly Watcher[], owners: RendezvousOwners): string[] {
    const watchers = fewestWatchers + Math.ceil(nodes.length / nodesOfWatcher);
    const able = nodes.filter(({ isWithoutStore }) => !isWithoutStore).map(({ nodeId }) => nodeId);
    return owners.getOwners(watchKey, able, watchers);
}
