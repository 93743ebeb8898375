import type { RandomSource } from "../randomSource.ts";
import { getSuccessorWait } from "./getSuccessorWait.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseWrite } from "./leaseWrite.ts";

/** Options of an {@link ObservedLease}. */
interface ObservedLeaseOptions {
    random: RandomSource;
    /** Maximum time in milliseconds by which the times at which several processes try to acquire the lease differ. */
    maximumJitterMilliseconds: number;
}

/** The last known state of the lease's key. */
interface Observation {
    /** 0 if the key is absent. */
    revision: number;
    record: LeaseRecord | undefined;
    firstSeenAt: number;
}

/** What a process knows of the lease's key in the store, and of its own writes to it. */
export class ObservedLease {
    private readonly options: ObservedLeaseOptions;
    private observation: Observation | undefined;
    /** Own writes with an unknown outcome, by write id. All compare with the observed revision. */
    private readonly undetermined = new Map<string, LeaseWrite>();
    /** Revision of the newest write of this process that has succeeded. */
    private adoptedRevision: number | undefined;
    private highestFencingNumber = 0;
    private acquireJitter = 0;

    private constructor(options: ObservedLeaseOptions) {
        this.options = options;
    }

    /** Creates the state of a key that was not read yet. */
    static create(options: ObservedLeaseOptions): ObservedLease {
        return new ObservedLease(options);
    }

    /** Gets the revision of the key, 0 if it is absent; undefined if it is unknown. */
    getRevision(): number | undefined {
        return this.observation?.revision;
    }

    /** Gets the record; undefined if the key is absent or unknown. */
    getRecord(): LeaseRecord | undefined {
        return this.observation?.record;
    }

    /** Gets the highest fencing number of any record that was seen. */
    getHighestFencingNumber(): number {
        return this.highestFencingNumber;
    }

    /** Checks if this process has written the record. */
    isOwn(): boolean {
        return this.observation !== undefined && this.observation.revision === this.adoptedRevision;
    }

    /**
     * Gets the monotonic time in milliseconds at which another process may acquire the lease: its time to live plus the maximum order
     * time after it was first seen. -Infinity if only this process can have sent orders, since no other one has written the record.
     */
    getEndTime(): number {
        const { record, firstSeenAt } = this.observation ?? {};
        if (record === undefined || firstSeenAt === undefined || this.isOwn()) {
            return -Infinity;
        }
        const timeToLive = record.isReleased ? 0 : record.timeToLiveMilliseconds;
        return firstSeenAt + getSuccessorWait(timeToLive, record.longestOrderMilliseconds) + this.acquireJitter;
    }

    /** Adds an own write whose outcome is unknown. */
    addUndetermined(write: LeaseWrite): void {
        this.undetermined.set(write.record.writeId, write);
    }

    /** Finds the own write with an unknown outcome that has written a record. */
    findUndetermined({ writeId }: LeaseRecord): LeaseWrite | undefined {
        return this.undetermined.get(writeId);
    }

    /** Sets the state of the key, as read or as known from other processes. */
    set(revision: number, record: LeaseRecord | undefined, now: number): void {
        this.highestFencingNumber = Math.max(this.highestFencingNumber, record?.fencingNumber ?? 0);
        if (this.observation?.revision === revision) {
            return;
        }
        this.observation = { revision, record, firstSeenAt: now };
        this.undetermined.clear();
        this.acquireJitter = this.options.random() * this.options.maximumJitterMilliseconds;
    }

    /** Sets the state of the key after an own write has succeeded. */
    adopt(revision: number, record: LeaseRecord, now: number): void {
        this.set(revision, record, now);
        this.adoptedRevision = revision;
    }

    /** Forgets the key and the own writes, but no fencing number. */
    clear(): void {
        this.observation = undefined;
        this.adoptedRevision = undefined;
        this.undetermined.clear();
    }
}
