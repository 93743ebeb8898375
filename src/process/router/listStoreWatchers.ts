import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";

/** A node that may follow the store. */
type Watcher = Pick<KnownNode, "nodeId" | "isWithoutStore">;

/** So many watch at least; each further watcher costs calls to the store. */
const fewestWatchers = 2;
/** One more watcher for so many nodes, so that the loss of many at once leaves some; each change costs a call a watcher. */
const nodesOfWatcher = 100;
/**
 * Where the store refuses a node, another takes its place, out of this many times as many. Where it refuses all, as when it is down,
 * no more than these go on trying; else each in turn would find out by itself, and all nodes would call it several times a second.
 */
const placesOfWatcher = 4;
const watchKey = "store";

/** Who speaks to the store. */
interface StoreWatchers {
    /** Ids of the nodes that follow it, from whom the others hear of changes. */
    following: string[];
    /** Ids of the nodes that would, which the store refuses; they learn by trying when it serves them again. */
    refused: string[];
}

/**
 * Lists the nodes that follow the store themselves.
 * @param nodes - The nodes that live.
 * @param owners - Assigns duties to nodes without agreement.
 */
export function listStoreWatchers(nodes: readonly Watcher[], owners: RendezvousOwners): StoreWatchers {
    const watchers = fewestWatchers + Math.ceil(nodes.length / nodesOfWatcher);
    const ranked = owners.getOwners(watchKey, nodes.map(({ nodeId }) => nodeId), watchers * placesOfWatcher);
    const refusing = new Set(nodes.filter(({ isWithoutStore }) => isWithoutStore).map(({ nodeId }) => nodeId));
    return {
        following: ranked.filter(nodeId => !refusing.has(nodeId)).slice(0, watchers),
        refused: ranked.filter(nodeId => refusing.has(nodeId)),
    };
}
