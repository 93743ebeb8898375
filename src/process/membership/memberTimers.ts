import type { Member } from "./member.ts";
import { MemberState } from "./memberState.ts";

/** Own misses of a member are ignored for so many suspicion timeouts after others showed that it lives. */
const ignoredMissTimeouts = 4;

/** Local times that belong to a member; they are not part of its record. */
interface MemberTimes {
    /** When a suspicion ends in death. */
    suspicionDeadline?: number;
    /** Whether this node was the one that raised the suspicion. */
    isOwnSuspicion?: boolean;
    /** Until when this node's own misses do not count. */
    missesIgnoredUntil?: number;
    /** When a dead record is forgotten. */
    forgetAt?: number;
}

/** The times at which a view has to act on its members. All times are monotonic milliseconds. */
export class MemberTimers {
    private readonly suspicionTimeout: number;
    private readonly deadRetention: number;
    private readonly times = new Map<string, MemberTimes>();

    private constructor(suspicionTimeout: number, deadRetention: number) {
        this.suspicionTimeout = suspicionTimeout;
        this.deadRetention = deadRetention;
    }

    /**
     * Creates an empty set.
     * @param suspicionTimeout - Milliseconds that a suspect has to refute.
     * @param deadRetention - Milliseconds that a dead member is remembered.
     */
    static create(suspicionTimeout: number, deadRetention: number): MemberTimers {
        return new MemberTimers(suspicionTimeout, deadRetention);
    }

    /** Sets the times that follow from a change of a record. */
    update(held: Member | undefined, merged: Member, now: number): void {
        if (held?.state === merged.state && held.incarnation === merged.incarnation) {
            return;
        }
        const times = this.getTimes(merged.nodeId);
        const isRefuted = held?.state === MemberState.Suspect && merged.incarnation > held.incarnation;
        if (isRefuted && times.isOwnSuspicion === true) {
            times.missesIgnoredUntil = now + ignoredMissTimeouts * this.suspicionTimeout;
        }
        times.isOwnSuspicion = false;
        times.suspicionDeadline = merged.state === MemberState.Suspect ? now + this.suspicionTimeout : undefined;
        times.forgetAt = merged.state === MemberState.Dead ? now + this.deadRetention : undefined;
    }

    /** Whether a miss by this node says nothing, as others have just shown that the member lives. */
    isMissIgnored(nodeId: string, now: number): boolean {
        const until = this.times.get(nodeId)?.missesIgnoredUntil;
        return until !== undefined && now < until;
    }

    /** Notes that this node raised the suspicion. */
    noteOwnSuspicion(nodeId: string): void {
        this.getTimes(nodeId).isOwnSuspicion = true;
    }

    /** Starts the time after which a member that is suspected or leaving counts as dead, where it does not run yet. */
    startDeadline(nodeId: string, now: number): void {
        this.getTimes(nodeId).suspicionDeadline ??= now + this.suspicionTimeout;
    }

    /** Notes an answer of a member; only for a leaving one does it end the deadline. */
    noteContact(nodeId: string, state: MemberState | undefined): void {
        const times = this.times.get(nodeId);
        if (times === undefined) {
            return;
        }
        times.missesIgnoredUntil = undefined;
        if (state === MemberState.Leaving) {
            times.suspicionDeadline = undefined;
        }
    }

    /** Gets the members whose deadline has passed. */
    getExpired(now: number): string[] {
        return this.find(times => times.suspicionDeadline !== undefined && now >= times.suspicionDeadline);
    }

    /** Removes and gets the dead members that need not be remembered any longer. */
    takeForgotten(now: number): string[] {
        const forgotten = this.find(times => times.forgetAt !== undefined && now >= times.forgetAt);
        for (const nodeId of forgotten) {
            this.times.delete(nodeId);
        }
        return forgotten;
    }

    private find(isWanted: (times: MemberTimes) => boolean): string[] {
        return [...this.times].filter(([, times]) => isWanted(times)).map(([nodeId]) => nodeId);
    }

    private getTimes(nodeId: string): MemberTimes {
        const known = this.times.get(nodeId);
        if (known !== undefined) {
            return known;
        }
        const times: MemberTimes = {};
        this.times.set(nodeId, times);
        return times;
    }
}
