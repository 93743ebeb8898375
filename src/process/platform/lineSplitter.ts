import { StringDecoder } from "node:string_decoder";

/** Cuts a stream of UTF-8 bytes into lines. */
export class LineSplitter {
    private readonly decoder = new StringDecoder("utf8");
    private rest = "";

    private constructor() {
    }

    /** Creates a splitter at the beginning of a stream. */
    static create(): LineSplitter {
        return new LineSplitter();
    }

    /**
     * Adds the next bytes of the stream.
     * @param chunk - Bytes, cut anywhere.
     * @returns The lines that are now whole and not empty, without their line ends.
     */
    push(chunk: Uint8Array): string[] {
        const lines = (this.rest + this.decoder.write(chunk)).split("\n");
        this.rest = lines.pop() ?? "";
        return lines.filter(line => line.trim() !== "");
    }
}
