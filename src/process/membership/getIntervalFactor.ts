import { maximumFullRateNodes } from "./maximumFullRateNodes.ts";
import type { MembershipView } from "./membershipView.ts";

/**
 * Gets the factor by which a node extends the intervals of periodic background work, so that the total rate does not
 * grow with the number of nodes.
 * @param view - Membership view.
 * @returns 1 for up to 9 nodes, proportional to the number of nodes above that.
 */
export function getIntervalFactor(view: MembershipView): number {
    return Math.max(1, view.getAliveMembers().length / maximumFullRateNodes);
}
