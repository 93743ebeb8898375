import type { KeyRecord } from "./keyRecord.ts";

/** A change of one key. */
export interface KeyEvent {
    type: "PUT" | "DELETE";
    /** The key after the change. For a deletion, only the key and the revision of the deletion are set. */
    record: KeyRecord;
}
