import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** Maps keys to shards of the claim log. All nodes get the same shard for a key. */
export class ShardHash {
    private readonly hash: XXHashAPI;

    private constructor(hash: XXHashAPI) {
        this.hash = hash;
    }

    /** Loads the hash function. */
    static async create(): Promise<ShardHash> {
        return new ShardHash(await xxhash());
    }

    /**
     * Gets the shard of a key.
     * @param key - Claim key.
     * @param shards - Number of shards.
     */
    getShardOfKey(key: string, shards: number): number {
        return this.hash.h32(key) % shards;
    }
}
