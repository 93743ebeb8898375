import { getHeapStatistics } from "node:v8";

/** How V8 is asked to collect. Does nothing where V8 doesn't allow it. */
interface GarbageCollectorOptions {
    collectNew(): void;
    collectAll(): void;
    /** Gets the memory of all objects and buffers that are not collected, in bytes. */
    getUsedBytes(): number;
}

/** Buffers that may become garbage before new objects are collected, in bytes. */
const bytesPerCollection = 16 * 1024 * 1024;
/** Memory that may be added after a collection before all objects are collected, in bytes. */
const maximumGrowthBytes = 48 * 1024 * 1024;

/**
 * Has V8 collect garbage before it takes much memory. By itself, V8 collects new objects by the space that these take, which is small for a
 * buffer of any size, and old ones by the memory of the machine, of which a process may use a small part.
 */
export class GarbageCollector {
    /** The collector of this process. */
    static readonly ofProcess = GarbageCollector.create({
        collectNew: () => globalThis.gc?.({ type: "minor" }),
        collectAll: () => globalThis.gc?.({ type: "major" }),
        getUsedBytes: () => {
            const { used_heap_size: objects, external_memory: buffers } = getHeapStatistics();
            return objects + buffers;
        },
    });

    private readonly options: GarbageCollectorOptions;
    private bufferBytes = 0;
    /** The least memory in use since the last collection of all objects. */
    private leastBytes = Infinity;

    private constructor(options: GarbageCollectorOptions) {
        this.options = options;
    }

    /** Creates a collector. */
    static create(options: GarbageCollectorOptions): GarbageCollector {
        return new GarbageCollector(options);
    }

    /** Notes a buffer that is used briefly. */
    noteBuffer(bytes: number): void {
        this.bufferBytes += bytes;
        if (this.bufferBytes >= bytesPerCollection) {
            this.bufferBytes = 0;
            this.options.collectNew();
        }
    }

    /** Collects all objects if much memory was added since the last time. */
    review(): void {
        const { getUsedBytes, collectAll } = this.options;
        const usedBytes = getUsedBytes();
        this.leastBytes = Math.min(this.leastBytes, usedBytes);
        if (usedBytes - this.leastBytes > maximumGrowthBytes) {
            collectAll();
            this.leastBytes = getUsedBytes();
        }
    }
}
