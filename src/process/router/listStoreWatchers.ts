import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";

/** A node that may watch the store. */
type Watcher = Pick<KnownNode, "nodeId" | "isWithoutStore">;

/** Number of watchers in addition to those per {@link nodesPerWatcher}. Each further watcher costs calls to the store. */
const baseWatchers = 2;
/**
 * One more watcher per this many nodes, so that some remain when many nodes are lost at once. Each change costs one call per
 * watcher.
 */
const nodesPerWatcher = 100;
/**
 * Candidates per watcher. If the store refuses a watcher, another candidate replaces it. If the store refuses all, for
 * example because it is down, only the candidates retry; otherwise every node in turn would detect the outage by itself, and
 * all nodes would call the store several times a second.
 */
const candidatesPerWatcher = 4;
const watchKey = "store";

/** The nodes that call the store. */
export interface StoreWatchers {
    /** Ids of the nodes that watch it, from which the other nodes get changes, in the order in which they take over from each other. */
    watching: string[];
    /** Ids of the candidates that the store refuses. They retry to detect when it serves them again. */
    refused: string[];
}

/**
 * Lists the nodes that watch the store themselves.
 * @param nodes - The live nodes.
 * @param owners - Assigns duties to nodes without coordination.
 */
export function listStoreWatchers(
    nodes: readonly Watcher[],
    owners: Pick<RendezvousOwners, "getOwners">,
): StoreWatchers {
    const watchers = baseWatchers + Math.ceil(nodes.length / nodesPerWatcher);
    const ranked = owners.getOwners(watchKey, nodes.map(({ nodeId }) => nodeId), watchers * candidatesPerWatcher);
    const withoutStore = new Set(nodes.filter(({ isWithoutStore }) => isWithoutStore).map(({ nodeId }) => nodeId));
    return {
        watching: ranked.filter(nodeId => !withoutStore.has(nodeId)).slice(0, watchers),
        refused: ranked.filter(nodeId => withoutStore.has(nodeId)),
    };
}
