import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";

/**
 * Gets the ids of the nodes that claims, orders and kept answers are assigned to. These are the alive nodes without the
 * suspected ones.
 * @param view - Membership view.
 */
export function getAssignableNodeIds(view: MembershipView): string[] {
    const nodeIds: string[] = [];
    for (const member of view.getAliveMembers()) {
        if (member.state === MemberState.Alive) {
            nodeIds.push(member.nodeId);
        }
    }
    return nodeIds;
}
