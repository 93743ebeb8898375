import type { Member } from "./member.ts";

/** A record that is still to be passed on. */
interface QueuedChange {
    member: Member;
    sent: number;
}

/** Each change is sent this many times the base-2 logarithm of the number of members. */
const transmissionMultiplier = 2;

/**
 * Recent changes of the membership that ride on heartbeats. A change is passed on a logarithmic number of times, those
 * sent least first (SWIM, section 4.1), so that the cost of a message does not grow with the membership.
 */
export class ChangeQueue {
    private readonly changes = new Map<string, QueuedChange>();

    private constructor() {}

    /** Creates an empty queue. */
    static create(): ChangeQueue {
        return new ChangeQueue();
    }

    /** Adds a changed record in place of an older one of the same member. */
    add(member: Member): void {
        this.changes.delete(member.nodeId);
        this.changes.set(member.nodeId, { member, sent: 0 });
    }

    /**
     * Takes the records for one message and counts them as sent once more.
     * @param limit - Most records to take.
     * @param memberCount - Number of members, for the number of transmissions.
     */
    take(limit: number, memberCount: number): Member[] {
        const transmissions = Math.ceil(transmissionMultiplier * Math.log2(memberCount + 1));
        const chosen = [...this.changes.values()].sort((left, right) => left.sent - right.sent).slice(0, limit);
        for (const change of chosen) {
            change.sent++;
            if (change.sent >= transmissions) {
                this.changes.delete(change.member.nodeId);
            }
        }
        return chosen.map(change => change.member);
    }
}
