import type { Clock } from "../clock.ts";

/** Where lines go. Write streams of Node.js fit. */
interface LineOutput {
    write(text: string): unknown;
    /** Bytes that wait to be written. */
    readonly writableLength: number;
}

/** Options of a {@link BoundedLineWriter}. */
interface BoundedLineWriterOptions {
    output: LineOutput;
    clock: Clock;
    /** Creates the line that tells of dropped ones. */
    createDropLine(count: number): string;
}

/**
 * Several times the lines of a node's usual requests, which leaves room for a storm of retries. Beyond it the lines themselves would
 * slow the requests down.
 */
const linesOfSecond = 300;
const mostSavedLines = 1_500;
/** A reader that is this far behind gets no more; waiting for it would hold the process up. */
const mostWaitingBytes = 512 * 1024;
const secondMilliseconds = 1_000;

/** Writes lines without ever waiting: what goes beyond a rate, or what the reader doesn't take, is dropped and counted. */
export class BoundedLineWriter {
    private readonly options: BoundedLineWriterOptions;
    private allowance = mostSavedLines;
    private updatedAt: number;
    private dropped = 0;

    private constructor(options: BoundedLineWriterOptions) {
        this.options = options;
        this.updatedAt = options.clock.getMonotonicTime();
    }

    /** Creates a writer. */
    static create(options: BoundedLineWriterOptions): BoundedLineWriter {
        return new BoundedLineWriter(options);
    }

    /** Writes one line, or drops it. */
    write(line: string): void {
        const { output, clock, createDropLine } = this.options;
        const now = clock.getMonotonicTime();
        const earned = (now - this.updatedAt) / secondMilliseconds * linesOfSecond;
        this.allowance = Math.min(mostSavedLines, this.allowance + earned);
        this.updatedAt = now;
        if (this.allowance < 1 || output.writableLength > mostWaitingBytes) {
            this.dropped += 1;
            return;
        }
        this.allowance -= 1;
        if (this.dropped > 0) {
            output.write(`${createDropLine(this.dropped)}\n`);
            this.dropped = 0;
        }
        output.write(`${line}\n`);
    }
}
