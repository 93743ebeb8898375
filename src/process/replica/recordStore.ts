import type { Result } from "../../result.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { StoreRecord } from "./storeRecord.ts";

/** Records as they stood at a revision. */
export interface RecordListing {
    records: StoreRecord[];
    /** Changes after this revision may be missing; all before are there. */
    revision: number;
}

/** Changes since a revision. */
export interface RecordChanges {
    records: StoreRecord[];
    /** Where the next wait goes on from. */
    revision: number;
    /** Whether the store no longer has the changes, so that everything has to be read again. */
    isHistoryLost: boolean;
}

/** The platform's store as far as its records are followed. Nothing here retries. */
export interface RecordStore {
    /** Reads all records with a prefix. */
    readAll(prefix: string): Promise<Result<RecordListing, PlatformError>>;
    /**
     * Waits until there are changes, or until the time is over.
     * @param prefix - Prefix of the keys.
     * @param afterRevision - Changes after this revision are returned.
     * @param waitMilliseconds - Longest time to wait.
     * @param signal - Ends the wait.
     */
    waitForChanges(
        prefix: string,
        afterRevision: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<Result<RecordChanges, PlatformError>>;
}
