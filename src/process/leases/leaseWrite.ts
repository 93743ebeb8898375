import type { LeaseRecord } from "./leaseRecord.ts";

/** A write of this process to the lease's key. */
export interface LeaseWrite {
    record: LeaseRecord;
    /** Monotonic time in milliseconds. */
    sentAt: number;
}
