import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { LogEvent } from "../logging/logEvent.ts";
import type { Member } from "./member.ts";
import type { MemberChange } from "./memberChange.ts";
import { MemberState } from "./memberState.ts";

const eventsByState: Readonly<Record<MemberState, LogEvent>> = {
    [MemberState.Alive]: events.memberAlive,
    [MemberState.Suspect]: events.memberSuspected,
    [MemberState.Leaving]: events.memberLeaving,
    [MemberState.Dead]: events.memberDead,
};

/**
 * Logs a change of a member's state, or that this node has refuted a suspicion.
 * @param log - Log to write to.
 * @param change - Change of the membership.
 * @param self - Record of this node.
 */
export function logMemberChange(log: EventLog, change: MemberChange, self: Member): void {
    const { member, previous } = change;
    const fields = { node: member.nodeId, incarnation: member.incarnation };
    if (previous?.state !== member.state) {
        log.write(eventsByState[member.state], fields);
    }
    else if (member.nodeId === self.nodeId && member.incarnation !== previous.incarnation) {
        log.write(events.suspicionRefuted, fields);
    }
}
