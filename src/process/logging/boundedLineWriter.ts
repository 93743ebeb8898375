import type { Clock } from "../clock.ts";

/** Output of the lines, such as a Node.js write stream. */
interface LineOutput {
    write(text: string): unknown;
    /** Number of bytes that are buffered and not yet written. */
    readonly writableLength: number;
}

/** Options of a {@link BoundedLineWriter}. */
interface BoundedLineWriterOptions {
    output: LineOutput;
    clock: Clock;
    /** Creates the line that reports how many lines were dropped. */
    createDropLine(count: number): string;
}

/**
 * Rate of the token bucket. It is several times the lines of a node's usual requests, which leaves headroom for a burst of
 * retries. At higher rates the logging itself would slow the requests down.
 */
const linesPerSecond = 300;
const maximumBurstLines = 1_500;
/** Lines are dropped while more than this is buffered, since waiting for a slow reader would block the process. */
const maximumBufferedBytes = 512 * 1024;
const millisecondsPerSecond = 1_000;

/**
 * Writes lines without blocking. Lines that exceed the rate limit, or that the reader does not consume in time, are dropped
 * and counted.
 */
export class BoundedLineWriter {
    private readonly options: BoundedLineWriterOptions;
    private availableLines = maximumBurstLines;
    private refilledAt: number;
    private dropped = 0;

    private constructor(options: BoundedLineWriterOptions) {
        this.options = options;
        this.refilledAt = options.clock.getMonotonicTime();
    }

    /** Creates a writer. */
    static create(options: BoundedLineWriterOptions): BoundedLineWriter {
        return new BoundedLineWriter(options);
    }

    /** Writes a line or drops it. If lines were dropped before, a line that reports their number is written first. */
    write(line: string): void {
        const { output, clock, createDropLine } = this.options;
        const now = clock.getMonotonicTime();
        const refill = (now - this.refilledAt) / millisecondsPerSecond * linesPerSecond;
        this.availableLines = Math.min(maximumBurstLines, this.availableLines + refill);
        this.refilledAt = now;
        if (this.availableLines < 1 || output.writableLength > maximumBufferedBytes) {
            this.dropped += 1;
            return;
        }
        this.availableLines -= 1;
        if (this.dropped > 0) {
            output.write(`${createDropLine(this.dropped)}\n`);
            this.dropped = 0;
        }
        output.write(`${line}\n`);
    }
}
