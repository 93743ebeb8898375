import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LineSplitter } from "../../../src/process/platform/lineSplitter.ts";

describe("LineSplitter", () => {
    it("puts lines and characters together that were cut anywhere", () => {
        const splitter = LineSplitter.create();
        const bytes = Buffer.from('{"ñ":1}\n\n{"é":2}\nrest', "utf8");
        const lines = [...bytes].flatMap(byte => splitter.push(Uint8Array.of(byte)));
        assert.deepEqual(lines, ['{"ñ":1}', '{"é":2}']);
    });
});
