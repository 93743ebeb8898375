/** Options of a {@link LineSplitter}. */
interface LineSplitterOptions {
    /** A longer line ends the stream with an error. */
    maximumLineBytes: number;
    /** Called for each whole line, without its newline. */
    onLine(line: string): void;
}

const Newline = 10;

/** Splits a byte stream into lines of bounded length. */
export class LineSplitter {
    private readonly options: LineSplitterOptions;
    private pending: Buffer = Buffer.alloc(0);

    private constructor(options: LineSplitterOptions) {
        this.options = options;
    }

    /** Creates a splitter. */
    static create(options: LineSplitterOptions): LineSplitter {
        return new LineSplitter(options);
    }

    /**
     * Takes the next bytes of the stream.
     * @param chunk - Bytes as they arrived.
     * @throws RangeError where a line is longer than allowed.
     */
    push(chunk: Buffer): void {
        const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        let start = 0;
        let end = bytes.indexOf(Newline, start);
        while (end !== -1) {
            this.assertLength(end - start);
            if (end > start) {
                this.options.onLine(bytes.toString("utf8", start, end));
            }
            start = end + 1;
            end = bytes.indexOf(Newline, start);
        }
        this.assertLength(bytes.length - start);
        this.pending = bytes.subarray(start);
    }

    private assertLength(length: number): void {
        if (length > this.options.maximumLineBytes) {
            throw new RangeError(`The stream has a line of over ${this.options.maximumLineBytes} bytes.`);
        }
    }
}
