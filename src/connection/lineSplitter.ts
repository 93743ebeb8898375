/** Options of a {@link LineSplitter}. */
interface LineSplitterOptions {
    /** A longer line ends the stream with an error. */
    maximumLineBytes: number;
    /** Called for each whole line, without its newline. */
    onLine(line: string): void;
}

const newline = 10;

/** Splits a byte stream into lines of bounded length. */
export class LineSplitter {
    private readonly options: LineSplitterOptions;
    /** Pieces of the line that has not ended; joined once at its end, so that a long line costs no more than its bytes. */
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
     * Takes the next bytes of the stream.
     * @param chunk - Bytes as they arrived.
     * @throws RangeError where a line is longer than allowed.
     */
    push(chunk: Buffer): void {
        let start = 0;
        let end = chunk.indexOf(newline, start);
        while (end !== -1) {
            this.addPending(chunk.subarray(start, end));
            this.emitLine();
            start = end + 1;
            end = chunk.indexOf(newline, start);
        }
        this.addPending(chunk.subarray(start));
    }

    private addPending(piece: Buffer): void {
        this.pendingBytes += piece.length;
        this.assertLength(this.pendingBytes);
        if (piece.length > 0) {
            this.pending.push(piece);
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
            throw new RangeError(`The stream has a line of over ${this.options.maximumLineBytes} bytes.`);
        }
    }
}
