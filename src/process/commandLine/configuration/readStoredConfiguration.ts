import { Ok, type Result } from "../../../result.ts";
import { StoredConfiguration } from "../../../version/storedConfiguration.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";

/**
 * Reads a configuration from the platform's store.
 * @param store - Platform's store.
 * @param key - Key to read; that of the configuration in force by default.
 * @returns The configuration, undefined where there is none, or an error that names the remedy.
 */
export async function readStoredConfiguration(
    store: PlatformStore,
    key = StoredConfiguration.key,
): Promise<Result<StoredConfiguration | undefined, { message: string; }>> {
    const read = await store.get(key);
    if (read.err || read.val === undefined) {
        return read.err ? read : Ok(undefined);
    }
    return StoredConfiguration.decode(read.val.value);
}
