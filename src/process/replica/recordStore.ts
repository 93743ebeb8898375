import type { Result } from "../../result.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { RecordChanges } from "./recordChanges.ts";
import type { RecordListing } from "./recordListing.ts";

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
