import type { VmRecord } from "../platform/vmList.ts";
import type { Member } from "./member.ts";
import type { MemberChange } from "./memberChange.ts";
import type { MembershipViewOptions } from "./membershipViewOptions.ts";
import { MemberState } from "./memberState.ts";
import { MemberTimers } from "./memberTimers.ts";
import { mergeMember } from "./mergeMember.ts";
import { SeedList } from "./seedList.ts";

const defaultSuspicionTimeoutMilliseconds = 3_000;
const defaultDeadRetentionMilliseconds = 3_600_000;

/**
 * One node's view of all nodes. A state machine without I/O that follows SWIM (Das, Gupta, Motivala, DSN 2002) with its
 * suspicions and incarnation numbers. Times are monotonic milliseconds passed by the caller.
 *
 * The view may be wrong. That may cost performance, but correctness must not depend on it.
 */
export class MembershipView {
    private self: Member;
    private readonly members = new Map<string, Member>();
    private readonly listeners = new Set<(change: MemberChange) => void>();
    private readonly seeds: SeedList;
    private readonly timers: MemberTimers;

    private constructor(options: MembershipViewOptions) {
        this.self = {
            nodeId: options.nodeId,
            incarnation: options.incarnation,
            state: MemberState.Alive,
            peerAddress: options.peerAddress,
            dataCentre: options.dataCentre,
            configurationVersion: options.configurationVersion ?? 0,
        };
        this.members.set(options.nodeId, this.self);
        this.seeds = SeedList.create(options.peerAddress);
        this.timers = MemberTimers.create(
            options.suspicionTimeoutMilliseconds ?? defaultSuspicionTimeoutMilliseconds,
            options.deadRetentionMilliseconds ?? defaultDeadRetentionMilliseconds,
        );
    }

    /** Creates a view that contains only its own node. */
    static create(options: MembershipViewOptions): MembershipView {
        return new MembershipView(options);
    }

    /** Gets the record of the node that holds the view. */
    getSelf(): Member {
        return this.self;
    }

    /** Gets the record of a member. Dead members are included while they are retained. */
    getMember(nodeId: string): Member | undefined {
        return this.members.get(nodeId);
    }

    /** Gets all records, including dead members. */
    getMembers(): Member[] {
        return [...this.members.values()];
    }

    /**
     * Gets the alive members, including this node. Suspected members are included, because SWIM counts them as members
     * until the suspicion is confirmed. A broken link of one node therefore moves no work between nodes.
     */
    getAliveMembers(): Member[] {
        return this.getMembers().filter(member => isAliveOrSuspect(member.state));
    }

    /** Gets the addresses of the VM list that belong to no known member. */
    getSeedAddresses(): string[] {
        return this.seeds.getUnknownAddresses(this.members.values());
    }

    /** Gets the dead members that may be alive according to the VM list, for example after a partition. */
    getReconnectionCandidates(): Member[] {
        return this.getMembers().filter(member => member.state === MemberState.Dead && this.seeds.mayBeAlive(member));
    }

    /**
     * Calls a listener after each change.
     * @returns A function that removes the listener.
     */
    onChange(listener: (change: MemberChange) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Merges the records of a peer's recent changes.
     * @param records - Received records. Those of this node are refuted or adopted.
     * @param now - Monotonic time in milliseconds.
     */
    applyRecords(records: Iterable<Member>, now: number): void {
        for (const record of records) {
            this.applyRecord(record, now);
        }
    }

    /**
     * Merges the full view of a peer. A member that is dead there but alive here only becomes suspected. After a
     * partition each side considers the other dead, and one side's view must not take down the other.
     */
    applyWholeView(records: Iterable<Member>, now: number): void {
        for (const record of records) {
            const current = this.members.get(record.nodeId);
            const isContradicted = record.state === MemberState.Dead && current !== undefined
                && isAliveOrSuspect(current.state);
            this.applyRecord(isContradicted ? { ...record, state: MemberState.Suspect } : record, now);
        }
    }

    /**
     * Applies the platform's VM list, which lags. It provides seed addresses, marks members on leaving VMs once, and
     * declares suspects dead whose VM is no longer listed. It never marks a member as alive.
     */
    applyVmList(records: readonly VmRecord[], now: number): void {
        const difference = this.seeds.update(records);
        for (const vm of difference.newlyLeaving) {
            const member = this.findByVm(vm);
            if (member !== undefined && isAliveOrSuspect(member.state)) {
                this.applyRecord({ ...member, state: MemberState.Leaving }, now);
            }
        }
        for (const vm of difference.removed) {
            const member = this.findByVm(vm);
            if (member?.state === MemberState.Suspect && member !== this.self) {
                this.applyRecord({ ...member, state: MemberState.Dead }, now);
            }
        }
    }

    /** Records that a seed has answered, so that it is not contacted again while its VM is listed. */
    noteSeedAnswered(address: string): void {
        this.seeds.recordAnswer(address);
    }

    /** Sets the configuration version of this node. A lower one is ignored. */
    setConfigurationVersion(version: number): void {
        if (version > this.self.configurationVersion) {
            this.setSelf({ ...this.self, configurationVersion: version });
        }
    }

    /** Marks this node as leaving. This can't be undone. */
    announceLeaving(): void {
        if (this.self.state !== MemberState.Leaving) {
            this.setSelf({ ...this.self, state: MemberState.Leaving, incarnation: this.self.incarnation + 1 });
        }
    }

    /**
     * Records that a member did not answer. It is suspected unless other nodes have recently shown that it is alive.
     * @param nodeId - Id of the member.
     * @param now - Monotonic time in milliseconds.
     */
    noteMiss(nodeId: string, now: number): void {
        const member = this.members.get(nodeId);
        if (member === undefined || member === this.self || this.timers.isMissIgnored(nodeId, now)) {
            return;
        }
        if (member.state === MemberState.Alive) {
            this.applyRecord({ ...member, state: MemberState.Suspect }, now);
            this.timers.recordOwnSuspicion(nodeId);
        }
        else if (member.state !== MemberState.Dead) {
            this.timers.startDeadline(nodeId, now);
        }
    }

    /** Records that a member answered. A suspicion has already spread, so it stays until the member refutes it. */
    noteContact(nodeId: string): void {
        this.timers.recordContact(nodeId, this.members.get(nodeId)?.state);
    }

    /** Extends the time in which suspects may refute their suspicion, because this process was late to read what they sent. */
    postponeDeadlines(milliseconds: number): void {
        this.timers.postponeDeadlines(milliseconds);
    }

    /**
     * Declares members dead that did not refute a suspicion in time, and removes those whose retention has ended.
     * @param now - Monotonic time in milliseconds.
     */
    advance(now: number): void {
        for (const nodeId of this.timers.getExpired(now)) {
            const member = this.members.get(nodeId);
            if (member !== undefined) {
                this.applyRecord({ ...member, state: MemberState.Dead }, now);
            }
        }
        for (const nodeId of this.timers.takeExpiredDead(now)) {
            this.members.delete(nodeId);
        }
    }

    private applyRecord(record: Member, now: number): void {
        if (record.nodeId === this.self.nodeId) {
            this.applyOwnRecord(record);
            return;
        }
        const current = this.members.get(record.nodeId);
        const merged = current === undefined ? record : mergeMember(current, record);
        if (merged !== current) {
            this.members.set(merged.nodeId, merged);
            this.timers.update(current, merged, now);
            this.notify(merged, current);
        }
    }

    /** Only this process increases its incarnation, so a higher one is from an earlier process of this node. */
    private applyOwnRecord(record: Member): void {
        if (record.incarnation > this.self.incarnation) {
            this.setSelf({ ...this.self, incarnation: record.incarnation + 1 });
            return;
        }
        if (record.incarnation < this.self.incarnation || this.self.state === record.state) {
            return;
        }
        if (record.state === MemberState.Leaving) {
            this.setSelf({ ...this.self, state: MemberState.Leaving });
        }
        else if (mergeMember(this.self, record).state === record.state) {
            this.setSelf({ ...this.self, incarnation: this.self.incarnation + 1 });
        }
    }

    private setSelf(record: Member): void {
        const previous = this.self;
        this.self = record;
        this.members.set(record.nodeId, record);
        this.notify(record, previous);
    }

    private notify(member: Member, previous: Member | undefined): void {
        const isVersionOnly = previous !== undefined && previous.incarnation === member.incarnation
            && previous.state === member.state && previous.peerAddress === member.peerAddress;
        for (const listener of this.listeners) {
            listener({ member, previous, isVersionOnly });
        }
    }

    private findByVm(vm: VmRecord): Member | undefined {
        const member = this.members.get(vm.vm);
        return member ?? this.getMembers().find(other => other.peerAddress === vm.address);
    }
}

function isAliveOrSuspect(state: MemberState): boolean {
    return state === MemberState.Alive || state === MemberState.Suspect;
}
