import type { VmRecord } from "../platform/vmList.ts";
import type { Member } from "./member.ts";

/** Difference between two VM lists. */
interface VmListDifference {
    /** VMs that are leaving and were not leaving in the previous list. */
    newlyLeaving: VmRecord[];
    /** VMs of the previous list that are no longer listed. */
    removed: VmRecord[];
}

/**
 * Nodes of the platform's VM list. Only differences between lists are used: a list that still shows a VM as leaving after
 * it was replaced under the same name does not apply to the new VM.
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
     * @param ownAddress - host:port of this node's peer listener, which is never a seed.
     */
    static create(ownAddress: string): SeedList {
        return new SeedList(ownAddress);
    }

    /** Replaces the list and gets the difference to the previous one. */
    update(records: readonly VmRecord[]): VmListDifference {
        const previous = this.vms;
        this.vms = new Map(records.filter(record => record.role === "node").map(record => [record.vm, record]));
        const newlyLeaving = [...this.vms.values()]
            .filter(record => record.state === "leaving" && previous.get(record.vm)?.state !== "leaving");
        const removed = [...previous.values()].filter(record => !this.vms.has(record.vm));
        for (const record of removed) {
            this.answered.delete(record.address);
        }
        return { newlyLeaving, removed };
    }

    /** Records that an address has answered. */
    recordAnswer(address: string): void {
        this.answered.add(address);
    }

    /** Gets the listed addresses that have not answered and belong to none of the members. */
    getUnknownAddresses(members: Iterable<Member>): string[] {
        const known = new Set<string>([this.ownAddress, ...this.answered]);
        for (const member of members) {
            known.add(member.peerAddress);
        }
        return [...this.vms.values()].map(record => record.address).filter(address => !known.has(address));
    }

    /** Checks if a member may be alive according to the list. Always true while the list is empty. */
    mayBeAlive(member: Member): boolean {
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
