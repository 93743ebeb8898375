import type { PlatformError } from "../process/platform/platformError.ts";
import type { PlatformStore, StoredValue, SwapOutcome } from "../process/platform/platformStore.ts";
import type { Result } from "../result.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";
import type { VersionOffer } from "./versionOffer.ts";

/** Options of {@link restoreStoredConfiguration}. */
interface RestoreOptions {
    store: PlatformStore;
    /** The configuration in force. */
    current: VersionOffer;
    /** Value in the store; undefined if the key does not exist. */
    stored: StoredValue | undefined;
    /** Wall-clock time in milliseconds since the Unix epoch, stored for information only. */
    wallTime: number;
}

/**
 * Writes the configuration in force back to a store that was restored from an older backup. The compare-and-swap only replaces the
 * value that was read, so that it never overwrites a newer edit of an operator.
 * @param options - The configuration in force and the value to replace.
 */
export async function restoreStoredConfiguration(
    options: RestoreOptions,
): Promise<Result<SwapOutcome, PlatformError>> {
    const { store, current, stored, wallTime } = options;
    const { version, editId, text } = current;
    const decoded = stored === undefined ? undefined : StoredConfiguration.decode(stored.value);
    const earlierEdits = decoded?.ok === true ? decoded.val.earlierEdits : [];
    const value = StoredConfiguration.encode({
        version,
        editId,
        text,
        author: "foxlead (restored from the nodes)",
        appliedAt: wallTime,
        earlierEdits,
    });
    return await store.compareAndSwap(StoredConfiguration.key, stored?.revision ?? 0, value);
}
