import type { StoreRecord } from "./storeRecord.ts";

/** Changes since a revision. */
export interface RecordChanges {
    records: StoreRecord[];
    /** Where the next wait goes on from. */
    revision: number;
    /** Whether the store no longer has the changes, so that everything has to be read again. */
    isHistoryLost: boolean;
}
