/** Size of a block. */
const blockBytes = 64 * 1024;

/**
 * Blocks of memory for bodies that are being received. They are used again at once, while the memory of other buffers is free only after
 * a collection, which may be late for large buffers.
 */
export class BlockPool {
    /** The pool of this process. */
    static readonly ofProcess = BlockPool.create();

    private readonly free: Buffer[] = [];

    private constructor() {}

    /** Creates an empty pool. */
    static create(): BlockPool {
        return new BlockPool();
    }

    /** Takes a block, whose content is undefined. */
    take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
    }

    /** Returns a block, which nothing may use any more. */
    give(block: Buffer): void {
        this.free.push(block);
    }
}
