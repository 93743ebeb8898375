import type { Clock } from "../../src/process/clock.ts";
import type { KeyEvent } from "./keyEvent.ts";
import type { KeyRecord } from "./keyRecord.ts";
import { LeaseTable } from "./leaseTable.ts";

/** Number of changes kept for watches that start at a past revision. */
const maximumHistoryLength = 1_000;
const noLease = "0";

interface Snapshot {
    revision: number;
    records: ReadonlyMap<string, KeyRecord>;
    timesToLive: ReadonlyMap<string, number>;
    history: readonly KeyEvent[];
    compactedRevision: number;
}

/** Keys, revisions and leases with the semantics of the etcd v3 API. */
export class KeyValueState {
    readonly leases: LeaseTable;
    private readonly onEvents: (events: readonly KeyEvent[]) => void;
    private records = new Map<string, KeyRecord>();
    private history: KeyEvent[] = [];
    private revision = 1;
    private compactedRevision = 0;
    private snapshot: Snapshot | undefined;

    private constructor(clock: Clock, onEvents: (events: readonly KeyEvent[]) => void) {
        this.onEvents = onEvents;
        this.leases = LeaseTable.create(clock, leaseId => this.deleteKeysOfLease(leaseId));
    }

    /**
     * Creates an empty store at revision 1.
     * @param clock - Clock for the expiry of leases.
     * @param onEvents - Called after each revision with its changes.
     */
    static create(clock: Clock, onEvents: (events: readonly KeyEvent[]) => void): KeyValueState {
        return new KeyValueState(clock, onEvents);
    }

    getRevision(): number {
        return this.revision;
    }

    /** Gets the newest revision whose changes were compacted, or 0 if all changes are kept. */
    getCompactedRevision(): number {
        return this.compactedRevision;
    }

    getRecord(key: string): KeyRecord | undefined {
        return this.records.get(key);
    }

    /** Gets the records whose keys are in a range, sorted by key. */
    getRecords(isInRange: (key: string) => boolean): KeyRecord[] {
        const records = [...this.records.values()].filter(record => isInRange(record.key));
        return records.sort((left, right) => left.key < right.key ? -1 : 1);
    }

    /** Gets the kept changes since a revision (inclusive). */
    getEventsSince(revision: number): KeyEvent[] {
        return this.history.filter(event => event.record.modRevision >= revision);
    }

    /** Writes a key and increments the revision. */
    put(key: string, value: string, leaseId: string): void {
        const previous = this.records.get(key);
        this.revision++;
        const record = {
            key,
            value,
            createRevision: previous?.createRevision ?? this.revision,
            modRevision: this.revision,
            version: (previous?.version ?? 0) + 1,
            leaseId,
        };
        this.records.set(key, record);
        this.publish([{ type: "PUT", record }]);
    }

    /** Revokes a lease and deletes its keys. Returns false if the lease does not exist. */
    revokeLease(leaseId: string): boolean {
        if (!this.leases.remove(leaseId)) {
            return false;
        }
        this.deleteKeysOfLease(leaseId);
        return true;
    }

    /** Takes a snapshot of the state, which replaces the previous snapshot. */
    takeSnapshot(): void {
        this.snapshot = {
            revision: this.revision,
            records: new Map(this.records),
            timesToLive: this.leases.getTimesToLive(),
            history: [...this.history],
            compactedRevision: this.compactedRevision,
        };
    }

    /** Restores the last snapshot. Returns false if there is none. */
    restoreSnapshot(): boolean {
        if (this.snapshot === undefined) {
            return false;
        }
        this.revision = this.snapshot.revision;
        this.records = new Map(this.snapshot.records);
        this.history = [...this.snapshot.history];
        this.compactedRevision = this.snapshot.compactedRevision;
        this.leases.replaceAll(this.snapshot.timesToLive);
        return true;
    }

    private deleteKeysOfLease(leaseId: string): void {
        const attachedRecords = [...this.records.values()].filter(record => record.leaseId === leaseId);
        if (attachedRecords.length === 0) {
            return;
        }
        this.revision++;
        for (const record of attachedRecords) {
            this.records.delete(record.key);
        }
        this.publish(attachedRecords.map(record => this.createDeletion(record.key)));
    }

    private createDeletion(key: string): KeyEvent {
        const modRevision = this.revision;
        return {
            type: "DELETE",
            record: { key, value: "", createRevision: 0, modRevision, version: 0, leaseId: noLease },
        };
    }

    private publish(events: KeyEvent[]): void {
        this.history.push(...events);
        const compactedEvents = this.history.splice(0, Math.max(0, this.history.length - maximumHistoryLength));
        this.compactedRevision = compactedEvents.at(-1)?.record.modRevision ?? this.compactedRevision;
        this.onEvents(events);
    }
}
