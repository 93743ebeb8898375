import { BlockPool } from "./blockPool.ts";

/** Bodies are received into small blocks of their own up to this size, and then into blocks of the pool. */
const maximumSmallBytes = 16 * 1024;
const firstBlockBytes = 4 * 1024;

/**
 * The part of a body that was received. Chunks are copied into blocks: a buffer for each chunk would need more memory than a small chunk
 * itself.
 */
export class BodyBuffer {
    private readonly announcedBytes: number;
    private readonly pool: BlockPool;
    /** The only chunk, if it is not copied. */
    private first: Buffer | undefined;
    private readonly blocks: Buffer[] = [];
    private readonly pooled: Buffer[] = [];
    /** Bytes of the last block that are in use. */
    private used = 0;
    private bytes = 0;
    private blockBytes = 0;

    private constructor(announcedBytes: number, pool: BlockPool) {
        this.announcedBytes = announcedBytes;
        this.pool = pool;
    }

    /**
     * Creates an empty buffer.
     * @param announcedBytes - Announced size of the body; 0 if unknown.
     * @param pool - Pool of the blocks.
     */
    static create(announcedBytes: number, pool = BlockPool.ofProcess): BodyBuffer {
        return new BodyBuffer(announcedBytes, pool);
    }

    /** Gets the size of the received part, in bytes. */
    getLength(): number {
        return this.bytes;
    }

    /** Gets how much memory the received part takes, in bytes. */
    getHeldBytes(): number {
        return this.blockBytes + (this.first?.length ?? 0);
    }

    /** Adds a chunk. */
    append(chunk: Buffer): void {
        const isFirst = this.bytes === 0;
        this.bytes += chunk.length;
        // Most bodies come in one chunk.
        if (isFirst && (chunk.length < maximumSmallBytes || chunk.length === this.announcedBytes)) {
            this.first = chunk;
            return;
        }
        if (this.first !== undefined) {
            const { first } = this;
            this.first = undefined;
            this.copy(first);
        }
        this.copy(chunk);
    }

    /** Gets the body as one buffer, and releases the blocks. Nothing may be added afterwards. */
    toBuffer(): Buffer {
        const last = this.blocks.pop()?.subarray(0, this.used);
        const body = this.first ?? Buffer.concat(last === undefined ? [] : [...this.blocks, last], this.bytes);
        this.release();
        return body;
    }

    /** Releases the blocks. Nothing may be added afterwards. */
    release(): void {
        for (const block of this.pooled.splice(0)) {
            this.pool.give(block);
        }
        this.blocks.length = 0;
        this.blockBytes = 0;
    }

    private copy(chunk: Buffer): void {
        let rest = chunk;
        while (rest.length > 0) {
            const block = this.getBlock();
            const copied = rest.copy(block, this.used);
            this.used += copied;
            rest = rest.subarray(copied);
        }
    }

    /** Gets the last block, which has room. */
    private getBlock(): Buffer {
        const last = this.blocks.at(-1);
        if (last !== undefined && this.used < last.length) {
            return last;
        }
        const block = this.createBlock();
        this.blocks.push(block);
        this.blockBytes += block.length;
        this.used = 0;
        return block;
    }

    private createBlock(): Buffer {
        if (this.bytes <= maximumSmallBytes) {
            return Buffer.allocUnsafeSlow(Math.max(firstBlockBytes, this.blockBytes));
        }
        const block = this.pool.take();
        this.pooled.push(block);
        return block;
    }
}
