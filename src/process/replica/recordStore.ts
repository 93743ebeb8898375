import type { Result } from "../../result.ts";
import type { PlatformError } from "../platform/platformError.ts";
import type { RecordChanges } from "./recordChanges.ts";
import type { RecordListing } from "./recordListing.ts";

/** The calls to the platform's store that keep sections up to date. None of them retries. */
export interface RecordStore {
    /** Reads all records with a prefix. */
    readAll(prefix: string): Promise<Result<RecordListing, PlatformError>>;
    /**
     * Waits until there are changes or the wait times out.
     * @param prefix - Prefix of the keys.
     * @param afterRevision - Revision after which changes are returned.
     * @param waitMilliseconds - Maximum time to wait.
     * @param signal - Aborts the wait.
     */
    waitForChanges(
        prefix: string,
        afterRevision: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<Result<RecordChanges, PlatformError>>;
}
