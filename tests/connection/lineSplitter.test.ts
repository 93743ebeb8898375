import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LineSplitter } from "../../src/connection/lineSplitter.ts";

const maximumLineBytes = 64;

describe("LineSplitter", () => {
    function split(chunks: readonly Buffer[]): string[] {
        const lines: string[] = [];
        const splitter = LineSplitter.create({ maximumLineBytes, onLine: line => void lines.push(line) });
        for (const chunk of chunks) {
            splitter.push(chunk);
        }
        return lines;
    }

    it("returns the same lines regardless of how the bytes are split into chunks", () => {
        const texts = fc.array(fc.string({ unit: "grapheme", maxLength: 8 }).map(text => text.replaceAll("\n", "")));
        fc.assert(
            fc.property(texts, fc.integer({ min: 1, max: 20 }), (lines, size) => {
                const bytes = Buffer.from(lines.map(line => `${line}\n`).join(""));
                const chunks: Buffer[] = [];
                for (let start = 0; start < bytes.length; start += size) {
                    chunks.push(bytes.subarray(start, start + size));
                }
                const short = lines.filter(line => line !== "");
                fc.pre(short.every(line => Buffer.byteLength(line) <= maximumLineBytes));
                assert.deepEqual(split(chunks), short);
            }),
            { seed: 20261202 },
        );
    });

    it("joins characters that are split between chunks, and omits empty lines", () => {
        const bytes = Buffer.from('{"ñ":1}\n\n{"é":2}\nrest', "utf8");
        assert.deepEqual(split([...bytes].map(byte => Buffer.of(byte))), ['{"ñ":1}', '{"é":2}']);
    });

    it("rejects a line that is too long, whether it is complete or not", () => {
        const half = Buffer.alloc(maximumLineBytes / 2 + 1, "x");
        assert.throws(() => split([half, half]), RangeError);
        assert.throws(() => split([Buffer.concat([half, half, Buffer.from("\n")])]), RangeError);
    });
});
