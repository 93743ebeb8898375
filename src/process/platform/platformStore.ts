import type { Result } from "../../result.ts";
import type { PlatformError } from "./platformError.ts";

/** A value read from the platform's key-value service. */
export interface StoredValue {
    key: string;
    value: string;
    /** Revision of the last write of this key. Increases with each write and is never 0. */
    revision: number;
}

/** Result of a compare-and-swap that the service has processed. */
export interface SwapOutcome {
    /** Whether the value was written. */
    swapped: boolean;
    /** Revision of the key after a successful write. */
    revision?: number;
    /** Current value if the comparison failed; undefined if the key does not exist. */
    current?: StoredValue;
}

/** One page of a listing. */
export interface StoredPage {
    values: StoredValue[];
    /** Key to continue from if there are more values. */
    nextKey?: string;
}

/** Handle to a running watch. */
export interface WatchHandle {
    /** Closes the watch. No callback is called afterwards. */
    close(): void;
}

/** Callbacks of a watch. */
export interface WatchOptions {
    /** Called for each change. Changes may be stale, or repeated after a reconnection. */
    onValue(value: StoredValue): void;
    /**
     * Called once when the watch failed, the key was deleted, or the service's revision decreased. The caller should read the key again
     * and start a new watch. Not called after {@link WatchHandle.close}.
     */
    onClosed(reason: PlatformError): void;
}

/**
 * The platform's key-value service. Each method makes one call and never retries; the caller decides about retries.
 * {@link PlatformError} distinguishes a lost response from a rejected call.
 */
export interface PlatformStore {
    /** Reads a key. */
    get(key: string): Promise<Result<StoredValue | undefined, PlatformError>>;
    /**
     * Reads a page of the keys that start with a prefix, in order.
     * @param fromKey - First key of the page. Defaults to the prefix itself.
     * @param limit - Maximum number of values in the page.
     */
    list(prefix: string, fromKey: string | undefined, limit: number): Promise<Result<StoredPage, PlatformError>>;
    /**
     * Writes a key if its revision is the expected one.
     * @param key - Key to write.
     * @param expectedRevision - Revision that was read, or 0 if the key must not exist.
     * @param value - New value, at most 1 MB.
     * @param leaseId - Lease to attach the key to, if any.
     */
    compareAndSwap(
        key: string,
        expectedRevision: number,
        value: string,
        leaseId?: string,
    ): Promise<Result<SwapOutcome, PlatformError>>;
    /** Creates a lease. Its time to live is rounded up to whole seconds. */
    grantLease(timeToLiveMilliseconds: number): Promise<Result<string, PlatformError>>;
    /** Renews a lease. Returns false if it has expired. */
    renewLease(leaseId: string): Promise<Result<boolean, PlatformError>>;
    /** Revokes a lease, which deletes its keys. Also succeeds if the lease has expired. */
    revokeLease(leaseId: string): Promise<Result<void, PlatformError>>;
    /** Watches a key from a revision on, or from now on if it is 0. An open watch counts as one call. */
    watch(key: string, fromRevision: number, options: WatchOptions): WatchHandle;
}
