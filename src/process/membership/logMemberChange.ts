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
 * Writes the event of a change of state.
 * @param log - Where to write.
 * @param change - The change.
 * @param self - Record of the own node.
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
