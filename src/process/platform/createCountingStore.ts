import type { Result } from "../../result.ts";
import type { PlatformError } from "./platformError.ts";
import type { PlatformStore } from "./platformStore.ts";

/** Takes one call that has ended. */
type OnStoreCall = (call: string, outcome: string) => void;

/**
 * Creates a store that passes every call on and counts it.
 * @param store - The store that does the work.
 * @param onCall - Takes the method's name and how the call ended: `ok`, `notDone`, `outcomeUnknown` or `opened`.
 */
export function createCountingStore(store: PlatformStore, onCall: OnStoreCall): PlatformStore {
    const count = async <T>(call: string, running: Promise<Result<T, PlatformError>>) => {
        const result = await running;
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
