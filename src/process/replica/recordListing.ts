import type { StoreRecord } from "./storeRecord.ts";

/** Records as they stood at a revision. */
export interface RecordListing {
    records: StoreRecord[];
    /** Changes after this revision may be missing; all before are there. */
    revision: number;
}
