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
 * What one node believes of all nodes: a state machine without input or output, after SWIM (Das, Gupta, Motivala,
 * DSN 2002) with its suspicion and incarnation numbers. Times are monotonic milliseconds given by the caller.
 * A wrong view may cost speed; nothing that must be safe may depend on it.
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

    /** Creates a view that knows only its own node. */
    static create(options: MembershipViewOptions): MembershipView {
        return new MembershipView(options);
    }

    /** Gets the record of the node that holds the view. */
    getSelf(): Member {
        return this.self;
    }

    /** Gets the record of a member, dead ones included while they are remembered. */
    getMember(nodeId: string): Member | undefined {
        return this.members.get(nodeId);
    }

    /** Gets all records, dead ones included. */
    getMembers(): Member[] {
        return [...this.members.values()];
    }

    /**
     * Gets the members that can hold duties, the own node included: those alive, and those suspected, which SWIM counts
     * as members until the suspicion is confirmed. One node's broken link thus moves no duty.
     */
    getAliveMembers(): Member[] {
        return this.getMembers().filter(member => isCounted(member.state));
    }

    /** Gets addresses from the VM list that no known member has. */
    getSeedAddresses(): string[] {
        return this.seeds.getUnresolved(this.members.values());
    }

    /** Gets dead members that the VM list does not contradict: after a partition they may be back. */
    getReconnectionCandidates(): Member[] {
        return this.getMembers().filter(member => member.state === MemberState.Dead && this.seeds.mayLive(member));
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
     * Merges records that a peer sent as recent changes.
     * @param records - The records; those of the own node are refuted or adopted.
     * @param now - Monotonic milliseconds.
     */
    applyRecords(records: Iterable<Member>, now: number): void {
        for (const record of records) {
            this.applyRecord(record, now);
        }
    }

    /**
     * Merges the whole view of a peer. Its dead members are only suspected where they are held as alive: after a
     * partition each side holds the other as dead, and one side's view must not stop the other.
     */
    applyWholeView(records: Iterable<Member>, now: number): void {
        for (const record of records) {
            const held = this.members.get(record.nodeId);
            const isContradicted = record.state === MemberState.Dead && held !== undefined && isCounted(held.state);
            this.applyRecord(isContradicted ? { ...record, state: MemberState.Suspect } : record, now);
        }
    }

    /**
     * Takes in the platform's list of machines, which lags: it seeds addresses, marks leaving machines once, and
     * declares a suspect dead whose machine has gone. It never marks a member as alive.
     */
    applyVmList(records: readonly VmRecord[], now: number): void {
        const difference = this.seeds.update(records);
        for (const vm of difference.newlyLeaving) {
            const member = this.findByVm(vm);
            if (member !== undefined && isCounted(member.state)) {
                this.applyRecord({ ...member, state: MemberState.Leaving }, now);
            }
        }
        for (const vm of difference.gone) {
            const member = this.findByVm(vm);
            if (member?.state === MemberState.Suspect && member !== this.self) {
                this.applyRecord({ ...member, state: MemberState.Dead }, now);
            }
        }
    }

    /** Notes that a seed has answered, so that it is not tried again until the VM list changes. */
    noteSeedAnswered(address: string): void {
        this.seeds.noteAnswered(address);
    }

    /** Sets the version of the configuration that is in force here; a lower one is ignored. */
    setConfigurationVersion(version: number): void {
        if (version > this.self.configurationVersion) {
            this.setSelf({ ...this.self, configurationVersion: version });
        }
    }

    /** Marks the own node as leaving; it stays so. */
    announceLeaving(): void {
        if (this.self.state !== MemberState.Leaving) {
            this.setSelf({ ...this.self, state: MemberState.Leaving, incarnation: this.self.incarnation + 1 });
        }
    }

    /**
     * Notes that a member did not answer. It is suspected, unless others have just shown that it lives.
     * @param nodeId - The member.
     * @param now - Monotonic milliseconds.
     */
    noteMiss(nodeId: string, now: number): void {
        const member = this.members.get(nodeId);
        if (member === undefined || member === this.self || this.timers.isMissIgnored(nodeId, now)) {
            return;
        }
        if (member.state === MemberState.Alive) {
            this.applyRecord({ ...member, state: MemberState.Suspect }, now);
            this.timers.noteOwnSuspicion(nodeId);
        }
        else if (member.state !== MemberState.Dead) {
            this.timers.startDeadline(nodeId, now);
        }
    }

    /** Notes that a member answered. A suspicion stays until the member refutes it, as its record has spread. */
    noteContact(nodeId: string): void {
        this.timers.noteContact(nodeId, this.members.get(nodeId)?.state);
    }

    /**
     * Declares members dead that did not refute a suspicion in time, and forgets those that have been dead for long.
     * @param now - Monotonic milliseconds.
     */
    advance(now: number): void {
        for (const nodeId of this.timers.getExpired(now)) {
            const member = this.members.get(nodeId);
            if (member !== undefined) {
                this.applyRecord({ ...member, state: MemberState.Dead }, now);
            }
        }
        for (const nodeId of this.timers.takeForgotten(now)) {
            this.members.delete(nodeId);
        }
    }

    private applyRecord(record: Member, now: number): void {
        if (record.nodeId === this.self.nodeId) {
            this.applyOwnRecord(record);
            return;
        }
        const held = this.members.get(record.nodeId);
        const merged = held === undefined ? record : mergeMember(held, record);
        if (merged !== held) {
            this.members.set(merged.nodeId, merged);
            this.timers.update(held, merged, now);
            this.notify(merged, held);
        }
    }

    /** Only this process raises its incarnation, so a higher one comes from an earlier process of this node. */
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
        const named = this.members.get(vm.vm);
        return named ?? this.getMembers().find(member => member.peerAddress === vm.address);
    }
}

function isCounted(state: MemberState): boolean {
    return state === MemberState.Alive || state === MemberState.Suspect;
}
