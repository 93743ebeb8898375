import { Ok, type Result } from "../../../result.ts";
import { StoredConfiguration } from "../../../version/storedConfiguration.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";

/**
 * Reads a configuration from the platform's store.
 * @param key - Key to read. Defaults to that of the current configuration.
 * @returns The configuration, undefined if the key does not exist, or an error with a suggested action.
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
