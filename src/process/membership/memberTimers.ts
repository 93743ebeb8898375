import type { Member } from "./member.ts";
import { MemberState } from "./memberState.ts";

/** Misses by this node are ignored for this many suspicion timeouts after other nodes showed that a member is alive. */
const ignoredMissTimeouts = 4;

/** Local times of a member that are not part of its record. */
interface MemberTimes {
    /** When the member is declared dead. */
    suspicionDeadline?: number;
    /** Whether this node raised the suspicion. */
    isOwnSuspicion?: boolean;
    /** Until when misses by this node are ignored. */
    missesIgnoredUntil?: number;
    /** When the record of a dead member is removed. */
    removeAt?: number;
}

/** Timeouts of the members of a view. All times are monotonic milliseconds. */
export class MemberTimers {
    private readonly suspicionTimeoutMilliseconds: number;
    private readonly deadRetentionMilliseconds: number;
    private readonly times = new Map<string, MemberTimes>();

    private constructor(suspicionTimeoutMilliseconds: number, deadRetentionMilliseconds: number) {
        this.suspicionTimeoutMilliseconds = suspicionTimeoutMilliseconds;
        this.deadRetentionMilliseconds = deadRetentionMilliseconds;
    }

    /**
     * Creates timers without members.
     * @param suspicionTimeoutMilliseconds - Time that a suspect has to refute the suspicion.
     * @param deadRetentionMilliseconds - Time that the record of a dead member is kept.
     */
    static create(suspicionTimeoutMilliseconds: number, deadRetentionMilliseconds: number): MemberTimers {
        return new MemberTimers(suspicionTimeoutMilliseconds, deadRetentionMilliseconds);
    }

    /** Updates the times of a member after its record changed. */
    update(previous: Member | undefined, current: Member, now: number): void {
        if (previous?.state === current.state && previous.incarnation === current.incarnation) {
            return;
        }
        const times = this.getTimes(current.nodeId);
        const isRefuted = previous?.state === MemberState.Suspect && current.incarnation > previous.incarnation;
        if (isRefuted && times.isOwnSuspicion === true) {
            times.missesIgnoredUntil = now + ignoredMissTimeouts * this.suspicionTimeoutMilliseconds;
        }
        times.isOwnSuspicion = false;
        times.suspicionDeadline = current.state === MemberState.Suspect
            ? now + this.suspicionTimeoutMilliseconds
            : undefined;
        times.removeAt = current.state === MemberState.Dead ? now + this.deadRetentionMilliseconds : undefined;
    }

    /** Checks if a miss by this node is ignored because other nodes have recently shown that the member is alive. */
    isMissIgnored(nodeId: string, now: number): boolean {
        const until = this.times.get(nodeId)?.missesIgnoredUntil;
        return until !== undefined && now < until;
    }

    /** Records that this node raised the suspicion. */
    recordOwnSuspicion(nodeId: string): void {
        this.getTimes(nodeId).isOwnSuspicion = true;
    }

    /** Starts the deadline after which a suspected or leaving member is declared dead, unless it is already running. */
    startDeadline(nodeId: string, now: number): void {
        this.getTimes(nodeId).suspicionDeadline ??= now + this.suspicionTimeoutMilliseconds;
    }

    /** Postpones all deadlines that are running. */
    postponeDeadlines(milliseconds: number): void {
        for (const times of this.times.values()) {
            if (times.suspicionDeadline !== undefined) {
                times.suspicionDeadline += milliseconds;
            }
        }
    }

    /** Records an answer of a member. It cancels the deadline only for a leaving member. */
    recordContact(nodeId: string, state: MemberState | undefined): void {
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

    /** Gets and removes the dead members whose retention has ended. */
    takeExpiredDead(now: number): string[] {
        const removed = this.find(times => times.removeAt !== undefined && now >= times.removeAt);
        for (const nodeId of removed) {
            this.times.delete(nodeId);
        }
        return removed;
    }

    private find(predicate: (times: MemberTimes) => boolean): string[] {
        return [...this.times].filter(([, times]) => predicate(times)).map(([nodeId]) => nodeId);
    }

    private getTimes(nodeId: string): MemberTimes {
        const existing = this.times.get(nodeId);
        if (existing !== undefined) {
            return existing;
        }
        const times: MemberTimes = {};
        this.times.set(nodeId, times);
        return times;
    }
}
