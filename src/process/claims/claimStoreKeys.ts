const root = "foxlead/claims";
const shardDigits = 4;
const slotDigits = 8;

/** Names of the claim log's keys in the platform's service. */
export const claimStoreKeys = {
    /** Gets the common prefix of a shard's slots. */
    getPrefix: (shard: number): string => `${root}/${String(shard).padStart(shardDigits, "0")}/`,
    /** Gets the key of one slot; zero-padded, so that keys sort as numbers do. */
    getSlotKey: (shard: number, slot: number): string =>
        `${claimStoreKeys.getPrefix(shard)}${String(slot).padStart(slotDigits, "0")}`,
    /** Gets the slot of a key; NaN where the key names none. */
    getSlot: (key: string): number => Number.parseInt(key.slice(key.lastIndexOf("/") + 1), 10),
} as const;
