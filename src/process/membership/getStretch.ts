import type { MembershipView } from "./membershipView.ts";
import { unstretchedNodes } from "./unstretchedNodes.ts";

/**
 * Gets by how much a node stretches the intervals of rare work, so that the sum over all nodes does not grow with them.
 * @param view - The members.
 * @returns 1 for up to 9 nodes, above in proportion to their number.
 */
export function getStretch(view: MembershipView): number {
    return Math.max(1, view.getAliveMembers().length / unstretchedNodes);
}
