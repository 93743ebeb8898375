import type { PlatformStore } from "../process/platform/platformStore.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";

const slotCount = 50;

/**
 * The last 50 configurations in the platform's store. They are kept in 50 slots in rotation, because {@link PlatformStore} cannot
 * delete keys.
 */
export const ConfigurationHistory = {
    /** Prefix of the keys of all slots. */
    prefix: "foxlead/configuration-history/",

    /** Gets the key of the slot for a version. The slot may contain another version. */
    getKey: (version: number): string => ConfigurationHistory.prefix + String(version % slotCount).padStart(2, "0"),

    /**
     * Writes a configuration to its slot, unless the slot already contains it or a newer one. Best effort: if the write fails, the
     * version is missing from the history.
     * @param store - Platform's store.
     * @param version - Version of the configuration.
     * @param value - Encoded configuration, as stored under the configuration's key.
     */
    save: async (store: PlatformStore, version: number, value: string): Promise<void> => {
        const key = ConfigurationHistory.getKey(version);
        const read = await store.get(key);
        if (read.err) {
            return;
        }
        const existing = read.val === undefined ? undefined : StoredConfiguration.decode(read.val.value);
        if (existing?.ok === true && existing.val.version >= version) {
            return;
        }
        await store.compareAndSwap(key, read.val?.revision ?? 0, value);
    },
};
