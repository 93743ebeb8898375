import type { VmRecord } from "../platform/vmList.ts";
import type { Member } from "./member.ts";

/** What has changed between two VM lists. */
interface VmListDifference {
    /** Machines that are leaving and were not in the list before. */
    newlyLeaving: VmRecord[];
    /** Machines that were listed before and are no longer. */
    gone: VmRecord[];
}

/**
 * The nodes of the platform's VM list. Only differences are acted upon: a list that still shows a machine as leaving
 * after it was replaced under the same name says nothing of the new one.
 */
export class SeedList {
    private readonly ownAddress: string;
    private vms = new Map<string, VmRecord>();
    private readonly answered = new Set<string>();

    private constructor(ownAddress: string) {
        this.ownAddress = ownAddress;
    }

    /**
     * Creates an empty list.
     * @param ownAddress - host:port of the own peer listener, which is never a seed.
     */
    static create(ownAddress: string): SeedList {
        return new SeedList(ownAddress);
    }

    /** Replaces the list and gets what has changed. */
    update(records: readonly VmRecord[]): VmListDifference {
        const previous = this.vms;
        this.vms = new Map(records.filter(record => record.role === "node").map(record => [record.vm, record]));
        const newlyLeaving = [...this.vms.values()]
            .filter(record => record.state === "leaving" && previous.get(record.vm)?.state !== "leaving");
        const gone = [...previous.values()].filter(record => !this.vms.has(record.vm));
        for (const record of gone) {
            this.answered.delete(record.address);
        }
        return { newlyLeaving, gone };
    }

    /** Notes that an address has answered. */
    noteAnswered(address: string): void {
        this.answered.add(address);
    }

    /** Gets the listed addresses that have not answered and that no given member has. */
    getUnresolved(members: Iterable<Member>): string[] {
        const known = new Set<string>([this.ownAddress, ...this.answered]);
        for (const member of members) {
            known.add(member.peerAddress);
        }
        return [...this.vms.values()].map(record => record.address).filter(address => !known.has(address));
    }

    /** Whether the list leaves it open that a member lives; always so while no list was ever read. */
    mayLive(member: Member): boolean {
        if (this.vms.size === 0) {
            return true;
        }
        for (const record of this.vms.values()) {
            if (record.vm === member.nodeId || record.address === member.peerAddress) {
                return true;
            }
        }
        return false;
    }
}
