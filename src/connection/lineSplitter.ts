/** Options of a {@link LineSplitter}. */
interface LineSplitterOptions {
    /** Maximum length of a line. A longer one causes an error. */
    maximumLineBytes: number;
    /** Called with each complete line that is not empty, without its newlineByte. */
    onLine(line: string): void;
}

const newlineByte = 10;

/** Splits a byte stream into lines of bounded length. */
export class LineSplitter {
    private readonly options: LineSplitterOptions;
    /** Parts of the incomplete line. They are joined once at its end, so that the cost of a long line stays linear. */
    private pending: Buffer[] = [];
    private pendingBytes = 0;

    private constructor(options: LineSplitterOptions) {
        this.options = options;
    }

    /** Creates a splitter. */
    static create(options: LineSplitterOptions): LineSplitter {
        return new LineSplitter(options);
    }

    /**
     * Adds the next bytes of the stream.
     * @throws RangeError if a line is longer than the maximum.
     */
    push(chunk: Buffer): void {
        let start = 0;
        let end = chunk.indexOf(newlineByte, start);
        while (end !== -1) {
            this.addPending(chunk.subarray(start, end));
            this.emitLine();
            start = end + 1;
            end = chunk.indexOf(newlineByte, start);
        }
        this.addPending(chunk.subarray(start));
    }

    private addPending(part: Buffer): void {
        this.pendingBytes += part.length;
        this.assertLength(this.pendingBytes);
        if (part.length > 0) {
            this.pending.push(part);
        }
    }

    private emitLine(): void {
        const line = this.pending.length === 1 ? this.pending[0]! : Buffer.concat(this.pending);
        this.pending = [];
        this.pendingBytes = 0;
        if (line.length > 0) {
            this.options.onLine(line.toString("utf8"));
        }
    }

    private assertLength(length: number): void {
        if (length > this.options.maximumLineBytes) {
            throw new RangeError(`The stream contains a line longer than ${this.options.maximumLineBytes} bytes.`);
        }
    }
}
