import type { Result } from "../../result.ts";
import type { PlatformError } from "./platformError.ts";

/** A value read from the platform's key-value service. */
export interface StoredValue {
    key: string;
    value: string;
    /** Revision of the last write of this key; grows with each write; never 0. */
    revision: number;
}

/** The result of a compare-and-swap that reached the service. */
export interface SwapOutcome {
    /** Whether the value was written. */
    swapped: boolean;
    /** Revision of the key after a successful write. */
    revision?: number;
    /** What stands under the key, where the comparison failed; undefined where the key is absent. */
    current?: StoredValue;
}

/** One page of a listing. */
export interface StoredPage {
    values: StoredValue[];
    /** Key to continue from, where more values follow. */
    nextKey?: string;
}

/** A watch that runs until closed. */
export interface WatchHandle {
    close(): void;
}

/** Callbacks of a watch. */
export interface WatchOptions {
    /** Called for each change; events may be stale or repeated after a reconnection. */
    onValue(value: StoredValue): void;
    /**
     * Called once when the watch has broken, the key was deleted, or the service's revision went back; the caller reads
     * again and watches anew. Not called after {@link WatchHandle.close}.
     */
    onClosed(reason: PlatformError): void;
}

/**
 * The platform's key-value service as foxlead uses it. Every method is one call at the service.
 * Nothing here retries: callers decide. A lost answer is told apart from a refusal by {@link PlatformError}.
 */
export interface PlatformStore {
    /** Reads one key. */
    get(key: string): Promise<Result<StoredValue | undefined, PlatformError>>;
    /**
     * Reads the keys with a prefix in order.
     * @param prefix - Common prefix.
     * @param fromKey - First key of the page; the prefix itself where undefined.
     * @param limit - Most values in the page.
     */
    list(prefix: string, fromKey: string | undefined, limit: number): Promise<Result<StoredPage, PlatformError>>;
    /**
     * Writes a key if its revision is the expected one.
     * @param key - Key to write.
     * @param expectedRevision - Revision that was read; 0 where the key must be absent.
     * @param value - New value, at most 1 MB.
     * @param leaseId - Lease that the key is bound to, if any.
     */
    compareAndSwap(
        key: string,
        expectedRevision: number,
        value: string,
        leaseId?: string,
    ): Promise<Result<SwapOutcome, PlatformError>>;
    /** Grants a lease; its time to live is in milliseconds, rounded up to a second by the service. */
    grantLease(timeToLiveMilliseconds: number): Promise<Result<string, PlatformError>>;
    /** Renews a lease. False where it has lapsed. */
    renewLease(leaseId: string): Promise<Result<boolean, PlatformError>>;
    /** Ends a lease; its keys are deleted. Succeeds also where the lease has lapsed already. */
    revokeLease(leaseId: string): Promise<Result<void, PlatformError>>;
    /** Watches one key from a revision on, 0 for changes from now on. A waiting watch counts as one call. */
    watch(key: string, fromRevision: number, options: WatchOptions): WatchHandle;
}
