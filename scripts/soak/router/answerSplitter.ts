/** What becomes of an answer while it is received. */
interface AnswerReceiver {
    onHead(status: number, headers: ReadonlyMap<string, string>): void;
    onBody(bytes: string): void;
    onComplete(): void;
}

/** How the rest of a body is framed: bytes that are left, chunks, or up to the end of the connection. */
type Framing = { kind: "length"; left: number; } | { kind: "chunks"; } | { kind: "end"; };

const headEnd = "\r\n\r\n";
const lineEnd = "\r\n";
const hexadecimal = 16;

/** Splits the bytes of a connection into answers, in the order of their requests. Bytes are characters of Latin-1. */
export class AnswerSplitter {
    private readonly next: () => AnswerReceiver | undefined;
    private buffer = "";
    private receiver: AnswerReceiver | undefined;
    private framing: Framing = { kind: "end" };

    private constructor(next: () => AnswerReceiver | undefined) {
        this.next = next;
    }

    /**
     * Creates a splitter without bytes.
     * @param next - Gets the receiver of the next answer; undefined if no request waits.
     */
    static create(next: () => AnswerReceiver | undefined): AnswerSplitter {
        return new AnswerSplitter(next);
    }

    /** Adds bytes. Returns false if they belong to no request. */
    add(bytes: string): boolean {
        this.buffer += bytes;
        while (this.buffer !== "") {
            if (this.receiver !== undefined) {
                if (!this.readBody(this.receiver)) {
                    return true;
                }
                continue;
            }
            const end = this.buffer.indexOf(headEnd);
            if (end === -1) {
                return true;
            }
            this.receiver = this.next();
            if (this.receiver === undefined) {
                return false;
            }
            this.readHead(this.receiver, this.take(end + headEnd.length));
        }
        return true;
    }

    /** Ends an answer that lasts up to the end of its connection. */
    end(): void {
        if (this.framing.kind === "end") {
            this.complete();
        }
    }

    private readHead(receiver: AnswerReceiver, text: string): void {
        const [first = "", ...lines] = text.split(lineEnd);
        const headers = new Map(
            lines.filter(line => line !== "").map(line => {
                const colon = line.indexOf(":");
                return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
            }),
        );
        const length = headers.get("content-length");
        const isChunked = headers.get("transfer-encoding") === "chunked";
        const unchunked: Framing = length === undefined ? { kind: "end" } : { kind: "length", left: Number(length) };
        this.framing = isChunked ? { kind: "chunks" } : unchunked;
        receiver.onHead(Number(first.split(" ")[1]), headers);
        if (length === "0") {
            this.complete();
        }
    }

    /** Reads some of the body. Returns whether there may be more to read in the buffer. */
    private readBody(receiver: AnswerReceiver): boolean {
        if (this.framing.kind === "chunks") {
            return this.readChunk(receiver);
        }
        if (this.framing.kind === "end") {
            receiver.onBody(this.take(this.buffer.length));
            return false;
        }
        const body = this.take(Math.min(this.framing.left, this.buffer.length));
        this.framing.left -= body.length;
        receiver.onBody(body);
        if (this.framing.left === 0) {
            this.complete();
        }
        return true;
    }

    private readChunk(receiver: AnswerReceiver): boolean {
        const lineLength = this.buffer.indexOf(lineEnd);
        const size = parseInt(this.buffer.slice(0, Math.max(0, lineLength)), hexadecimal);
        const dataAt = lineLength + lineEnd.length;
        if (lineLength === -1 || this.buffer.length < dataAt + size + lineEnd.length) {
            return false;
        }
        const data = this.take(dataAt + size + lineEnd.length).slice(dataAt, dataAt + size);
        if (size === 0) {
            this.complete();
        }
        else {
            receiver.onBody(data);
        }
        return true;
    }

    private complete(): void {
        this.receiver?.onComplete();
        this.receiver = undefined;
    }

    private take(length: number): string {
        const taken = this.buffer.slice(0, length);
        this.buffer = this.buffer.slice(length);
        return taken;
    }
}
