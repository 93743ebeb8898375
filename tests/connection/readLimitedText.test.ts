import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readLimitedText } from "../../src/connection/readLimitedText.ts";

// Guards against responses of stores and engines that fill the memory of a node.
describe("readLimitedText", () => {
    const maximumBytes = 10;
    let isClosed = false;

    async function* repeat(count: number): AsyncGenerator<Buffer> {
        try {
            for (let index = 0; index < count; index++) {
                yield Buffer.from("ab");
            }
        }
        finally {
            isClosed = true;
        }
    }

    it("reads a body up to the maximum", async () => {
        assert.equal(await readLimitedText(repeat(5), maximumBytes), "ababababab");
    });

    it("closes a body that never ends", async () => {
        isClosed = false;
        await assert.rejects(readLimitedText(repeat(Infinity), maximumBytes), RangeError);
        assert.ok(isClosed);
    });
});
