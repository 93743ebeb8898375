import type { StoreRecord } from "./storeRecord.ts";

/** All records with a prefix at a revision. */
export interface RecordListing {
    records: StoreRecord[];
    /** Revision up to which all changes are included. Later ones may be missing. */
    revision: number;
}
