import type { PlatformError } from "../process/platform/platformError.ts";
import type { PlatformStore, StoredValue, SwapOutcome } from "../process/platform/platformStore.ts";
import type { Result } from "../result.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";
import type { VersionOffer } from "./versionOffer.ts";

/** What is written back, and over what. */
interface RestoreOptions {
    store: PlatformStore;
    /** The configuration in force. */
    held: VersionOffer;
    /** What the store holds; undefined where it holds nothing. */
    stored: StoredValue | undefined;
    /** Wall-clock time in milliseconds since the Unix epoch, kept for people. */
    wallTime: number;
}

/**
 * Writes the configuration in force back to a store that came back with an older one. The swap succeeds only over the value
 * that was read, so that it never replaces what an operator has applied since.
 * @param options - What is written, and over what.
 */
export async function restoreStoredConfiguration(
    options: RestoreOptions,
): Promise<Result<SwapOutcome, PlatformError>> {
    const { store, held, stored, wallTime } = options;
    const { version, editId, text } = held;
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
