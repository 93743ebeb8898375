import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { StoreRecord } from "../replica/storeRecord.ts";

/** A shorter text does not fill a packet, so that compressing it saves no time. */
const minimumLength = 1_000;
/** The text of a configuration repeats itself so much that a higher level costs time and saves little. */
const compressionLevel = 1;
/** Maximum length of a text, in bytes. The platform's store holds none that is longer. */
const maximumBytes = 16_000_000;

/**
 * Compressed texts of records, so that a large configuration crosses slow links quickly. Each text is compressed once, for all peers that fetch
 * it.
 */
export class CompressedTexts {
    private readonly compressed = new WeakMap<StoreRecord, string>();

    private constructor() {}

    /** Creates an empty instance. */
    static create(): CompressedTexts {
        return new CompressedTexts();
    }

    /** Compresses the text of a record to base64; undefined if that is not worthwhile. */
    compress(record: StoreRecord): string | undefined {
        const { text } = record;
        if (text === undefined || text.length < minimumLength) {
            return undefined;
        }
        const known = this.compressed.get(record);
        if (known !== undefined) {
            return known;
        }
        const compressed = deflateRawSync(text, { level: compressionLevel }).toString("base64");
        this.compressed.set(record, compressed);
        return compressed;
    }

    /** Decompresses a text; undefined if it is no compressed text, or if it is too long. */
    static decompress(compressed: string): string | undefined {
        try {
            return inflateRawSync(Buffer.from(compressed, "base64"), { maxOutputLength: maximumBytes }).toString(
                "utf8",
            );
        }
        catch {
            return undefined;
        }
    }
}
