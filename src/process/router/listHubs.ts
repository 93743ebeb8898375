import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";

/** Minimum number of hubs in a data centre, so that the loss of one does not cut nodes off from updates for long. */
const minimumHubs = 2;
/** Nodes of the data centre per hub. Each node calls one hub in every round, about twice a second. */
const nodesPerHub = 12;

/**
 * Lists the hubs of a data centre: the nodes that get updates from the store watchers and pass them to the other nodes.
 * An update therefore reaches every node in two hops, regardless of the number of nodes.
 * @param dataCentre - The data centre.
 * @param nodeIds - Ids of its live nodes.
 * @param owners - Assigns duties to nodes without coordination.
 * @returns Ids of the hubs.
 */
export function listHubs(
    dataCentre: string,
    nodeIds: readonly string[],
    owners: Pick<RendezvousOwners, "getOwners">,
): string[] {
    const count = Math.max(minimumHubs, Math.ceil(nodeIds.length / nodesPerHub));
    return owners.getOwners(`hub/${dataCentre}`, nodeIds, count);
}
