import type { Member } from "./member.ts";
import type { RendezvousOwners } from "./rendezvousOwners.ts";

const watchKey = "configuration-watch";
const defaultWatcherCount = 3;

/**
 * Whether a node watches the configuration in the platform's service. A few do, as each waiting watch counts as a call;
 * the others hear of changes from them.
 * @param nodeId - The node.
 * @param members - Members that can hold duties.
 * @param owners - Assigns the duty.
 * @param count - Number of watchers.
 */
export function isWatcher(
    nodeId: string,
    members: readonly Member[],
    owners: RendezvousOwners,
    count: number = defaultWatcherCount,
): boolean {
    return owners.getOwners(watchKey, members.map(member => member.nodeId), count).includes(nodeId);
}
