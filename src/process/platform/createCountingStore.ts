import type { Result } from "../../result.ts";
import type { PlatformError } from "./platformError.ts";
import type { PlatformStore } from "./platformStore.ts";

/** Called when a call has ended. */
type OnStoreCall = (call: string, outcome: string) => void;

/**
 * Creates a store that forwards every call to another store and reports it for counting.
 * @param store - Store to call.
 * @param onCall - Called with the name of the method and the outcome: `ok`, `notDone`, `outcomeUnknown` or, for a watch, `opened`.
 */
export function createCountingStore(store: PlatformStore, onCall: OnStoreCall): PlatformStore {
    const count = async <T>(call: string, pending: Promise<Result<T, PlatformError>>) => {
        const result = await pending;
        onCall(call, result.ok ? "ok" : result.val.kind);
        return result;
    };
    return {
        get: key => count("get", store.get(key)),
        list: (prefix, fromKey, limit) => count("list", store.list(prefix, fromKey, limit)),
        compareAndSwap: (key, expectedRevision, value, leaseId) => {
            return count("compareAndSwap", store.compareAndSwap(key, expectedRevision, value, leaseId));
        },
        grantLease: timeToLiveMilliseconds => count("grantLease", store.grantLease(timeToLiveMilliseconds)),
        renewLease: leaseId => count("renewLease", store.renewLease(leaseId)),
        revokeLease: leaseId => count("revokeLease", store.revokeLease(leaseId)),
        watch: (key, fromRevision, options) => {
            onCall("watch", "opened");
            return store.watch(key, fromRevision, options);
        },
    };
}
