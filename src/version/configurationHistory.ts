import type { PlatformStore } from "../process/platform/platformStore.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";

const slotCount = 50;

/**
 * The last 50 configurations in the platform's store. They stand in 50 slots that are used in turn, because the
 * store is given no way to delete a key.
 */
export const ConfigurationHistory = {
    /** Prefix of all slots. */
    prefix: "foxlead/configuration-history/",

    /** Gets the key of the slot for a version. The value tells which version it holds. */
    getKey: (version: number): string => ConfigurationHistory.prefix + String(version % slotCount).padStart(2, "0"),

    /**
     * Keeps a configuration, unless its slot already holds it or a newer one. Best effort: a version that cannot
     * be written is missing from the history.
     * @param store - Platform's store.
     * @param version - Version to keep.
     * @param value - The version as it stands under the configuration's key.
     */
    keep: async (store: PlatformStore, version: number, value: string): Promise<void> => {
        const key = ConfigurationHistory.getKey(version);
        const read = await store.get(key);
        if (read.err) {
            return;
        }
        const held = read.val === undefined ? undefined : StoredConfiguration.decode(read.val.value);
        if (held?.ok === true && held.val.version >= version) {
            return;
        }
        await store.compareAndSwap(key, read.val?.revision ?? 0, value);
    },
};
