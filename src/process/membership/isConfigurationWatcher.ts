import type { Member } from "./member.ts";
import type { RendezvousOwners } from "./rendezvousOwners.ts";

const watchKey = "configuration-watch";
const defaultWatcherCount = 3;

/**
 * Checks if a node watches the configuration in the platform's key-value store. Only a few nodes do, because each open watch
 * counts as a store call. The others receive changes from them.
 * @param nodeId - Id of the node.
 * @param members - Members to choose the watchers from.
 * @param owners - Assigns the watchers.
 * @param count - Number of watchers.
 */
export function isConfigurationWatcher(
    nodeId: string,
    members: readonly Member[],
    owners: RendezvousOwners,
    count: number = defaultWatcherCount,
): boolean {
    return owners.getOwners(watchKey, members.map(member => member.nodeId), count).includes(nodeId);
}
