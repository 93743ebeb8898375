const root = "foxlead/claims";
const shardDigits = 4;
const slotDigits = 8;

/** Keys of the claim log in the platform's key-value store. */
export const claimStoreKeys = {
    /** Gets the common prefix of a shard's slots. */
    getPrefix: (shard: number): string => `${root}/${String(shard).padStart(shardDigits, "0")}/`,
    /** Gets the key of a slot. It is zero-padded so that keys sort in numeric order. */
    getSlotKey: (shard: number, slot: number): string =>
        `${claimStoreKeys.getPrefix(shard)}${String(slot).padStart(slotDigits, "0")}`,
    /** Gets the slot index of a key, or NaN if it has none. */
    getSlot: (key: string): number => Number.parseInt(key.slice(key.lastIndexOf("/") + 1), 10),
} as const;
