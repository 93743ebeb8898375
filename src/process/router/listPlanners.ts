import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { KnownNode } from "./knownNode.ts";

/** A node that may acquire the placement lease. */
interface PlannerCandidate extends Pick<KnownNode, "nodeId" | "isWithoutStore"> {
    /**
     * Whether it has told all nodes that its event loop runs late. What only the node itself knows must not be used: with all nodes
     * late, each would leave the orders to the others.
     */
    isLate?: boolean;
}

const planningKey = "placement";

/**
 * Lists the nodes that may order placements, the one that should do it first. All nodes choose it without coordination, so that one of
 * them acquires the lease as soon as there is something to order. Late nodes come last, and nodes that the store refuses are left out.
 */
export function listPlanners(
    candidates: readonly PlannerCandidate[],
    owners: Pick<RendezvousOwners, "getOwners">,
): string[] {
    const reachable = candidates.filter(({ isWithoutStore }) => !isWithoutStore);
    const late = new Set(reachable.filter(({ isLate }) => isLate).map(({ nodeId }) => nodeId));
    const ranked = owners.getOwners(planningKey, reachable.map(({ nodeId }) => nodeId), reachable.length);
    return [...ranked.filter(nodeId => !late.has(nodeId)), ...ranked.filter(nodeId => late.has(nodeId))];
}
