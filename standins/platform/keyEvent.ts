import type { KeyRecord } from "./keyRecord.ts";

/** A change of one key. */
export interface KeyEvent {
    type: "PUT" | "DELETE";
    /** The key after the change; a deleted one holds its name and the revision of the deletion only. */
    record: KeyRecord;
}
