import { LRUCache } from "lru-cache";
import type { CacheEventLog } from "./cacheEventLog.ts";
import { modelFunction } from "./model/modelFunction.ts";

const positionsPerBlock = 16;

/** Cache of prompt prefixes in blocks of 16 positions. It evicts the least recently used block when it is full. */
export class PrefixCache {
    private readonly blocks: LRUCache<string, true>;
    private readonly events: CacheEventLog;

    private constructor(maximumBlocks: number, events: CacheEventLog) {
        this.events = events;
        this.blocks = new LRUCache<string, true>({
            max: maximumBlocks,
            dispose: (_value, prefixHash, reason) => {
                if (reason === "evict") {
                    events.add("evicted", prefixHash);
                }
            },
        });
    }

    /**
     * Creates an empty cache.
     * @param maximumBlocks - Capacity in blocks; at least 1.
     * @param events - Log for stored and evicted blocks.
     */
    static create(maximumBlocks: number, events: CacheEventLog): PrefixCache {
        return new PrefixCache(maximumBlocks, events);
    }

    /**
     * Looks up the prefix of a sequence and stores all its complete blocks.
     * @param model - Name of the model.
     * @param layerStart - First layer. The inputs are tokens at layer 0 and activations at later layers.
     * @param inputs - Inputs from position 0.
     * @returns Number of leading positions that were already cached.
     */
    lookUpAndStore(model: string, layerStart: number, inputs: number[]): number {
        let cachedPositions = 0;
        let hash = modelFunction.tokenize(model)[0] ?? 0;
        hash = modelFunction.mix(hash, layerStart);
        for (let index = 0; index < inputs.length; index++) {
            hash = modelFunction.mix(hash, inputs[index] ?? 0);
            if ((index + 1) % positionsPerBlock !== 0) {
                continue;
            }
            const prefixHash = (hash >>> 0).toString(16).padStart(8, "0");
            if (this.blocks.get(prefixHash)) {
                cachedPositions = cachedPositions === index + 1 - positionsPerBlock ? index + 1 : cachedPositions;
            }
            else {
                this.blocks.set(prefixHash, true);
                this.events.add("stored", prefixHash);
            }
        }
        return cachedPositions;
    }
}
