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
    private readonly compressed = new WeakMap<StoreRecord, Uint8Array>();

    private constructor() {}

    /** Creates an empty instance. */
    static create(): CompressedTexts {
        return new CompressedTexts();
    }

    /** Compresses the text of a record; undefined if that is not worthwhile. */
    compress(record: StoreRecord): Uint8Array | undefined {
        const { text } = record;
        if (text === undefined || text.length < minimumLength) {
            return undefined;
        }
        const known = this.compressed.get(record);
        if (known !== undefined) {
            return known;
        }
        const bytes = deflateRawSync(text, { level: compressionLevel });
        this.compressed.set(record, bytes);
        return bytes;
    }

    /** Decompresses a text; undefined if the bytes are no compressed text, or if the text is too long. */
    static decompress(bytes: Uint8Array): string | undefined {
        try {
            return inflateRawSync(bytes, { maxOutputLength: maximumBytes }).toString("utf8");
        }
        catch {
            return undefined;
        }
    }
}
