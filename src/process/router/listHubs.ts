import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";

/** So many hubs at least in a data centre, so that one that is lost is missed by nobody for long. */
const fewestHubs = 2;
/** One more hub for so many nodes of the data centre: each asks one in every round, about two a second. */
const nodesOfHub = 12;

/**
 * Lists the nodes of a data centre that speak to those who follow the store; the others hear from them. So news is two steps away
 * from every node, however many there are.
 * @param dataCentre - The data centre.
 * @param nodeIds - Its nodes that live.
 * @param owners - Assigns duties to nodes without agreement.
 * @returns Their ids.
 */
export function listHubs(dataCentre: string, nodeIds: readonly string[], owners: RendezvousOwners): string[] {
    const count = Math.max(fewestHubs, Math.ceil(nodeIds.length / nodesOfHub));
    return owners.getOwners(`hub/${dataCentre}`, nodeIds, count);
}
