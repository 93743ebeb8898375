import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";

/**
 * Gets the names of the nodes that claims, orders and kept answers are assigned to: those alive, without the suspected.
 * @param view - The members.
 */
export function getDutyNodeIds(view: MembershipView): string[] {
    const nodeIds: string[] = [];
    for (const member of view.getAliveMembers()) {
        if (member.state === MemberState.Alive) {
            nodeIds.push(member.nodeId);
        }
    }
    return nodeIds;
}
