import type { StoreRecord } from "./storeRecord.ts";

/** Changes since a revision. */
export interface RecordChanges {
    records: StoreRecord[];
    /** Revision after which the next wait continues. */
    revision: number;
    /** Whether the store no longer has the changes, so that all records have to be read again. */
    isHistoryLost: boolean;
}
