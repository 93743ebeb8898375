import type { StoreWatchers } from "./listStoreWatchers.ts";

/**
 * Checks if a node calls the store itself.
 * @param nodeId - Id of the node.
 * @param watchers - The nodes that call the store.
 */
export function isStoreWatcher(nodeId: string, { watching, refused }: StoreWatchers): boolean {
    return watching.includes(nodeId) || refused.includes(nodeId);
}
