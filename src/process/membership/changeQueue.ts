import type { Member } from "./member.ts";

/** Record that is still to be sent. */
interface QueuedChange {
    member: Member;
    sentCount: number;
}

/** Each change is sent this many times the base-2 logarithm of the number of members. */
const transmissionMultiplier = 2;

/**
 * Queue of recent membership changes to piggyback on heartbeats. Each change is sent a number of times logarithmic in
 * the number of members, least sent changes first (SWIM, section 4.1), so that the message size does not grow with the
 * membership.
 */
export class ChangeQueue {
    private readonly changes = new Map<string, QueuedChange>();

    private constructor() {}

    /** Creates an empty queue. */
    static create(): ChangeQueue {
        return new ChangeQueue();
    }

    /** Adds a changed record. Replaces an older one of the same member. */
    add(member: Member): void {
        this.changes.delete(member.nodeId);
        this.changes.set(member.nodeId, { member, sentCount: 0 });
    }

    /**
     * Gets the records for one message and counts them as sent.
     * @param limit - Most records to get.
     * @param memberCount - Number of members, which determines the number of transmissions.
     */
    take(limit: number, memberCount: number): Member[] {
        const maximumTransmissions = Math.ceil(transmissionMultiplier * Math.log2(memberCount + 1));
        const selected = [...this.changes.values()].sort((left, right) => left.sentCount - right.sentCount).slice(
            0,
            limit,
        );
        for (const change of selected) {
            change.sentCount++;
            if (change.sentCount >= maximumTransmissions) {
                this.changes.delete(change.member.nodeId);
            }
        }
        return selected.map(change => change.member);
    }
}
