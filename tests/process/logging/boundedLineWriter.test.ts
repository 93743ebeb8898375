import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BoundedLineWriter } from "../../../src/process/logging/boundedLineWriter.ts";
import { FakeClock } from "../../support/fakeClock.ts";

function createFixture() {
    const clock = FakeClock.create();
    const lines: string[] = [];
    const output = { writableLength: 0, write: (text: string) => lines.push(text.trimEnd()) };
    const writer = BoundedLineWriter.create({ output, clock, createDropLine: count => `dropped ${count}` });
    return { clock, lines, output, writer };
}

describe("BoundedLineWriter", () => {
    it("drops lines that exceed the rate limit and reports their number", async () => {
        const { clock, lines, writer } = createFixture();
        for (let count = 0; count < 2_000; count++) {
            writer.write("line");
        }
        assert.equal(lines.length, 1_500);
        await clock.advance(1_000);
        writer.write("next");
        assert.deepEqual(lines.slice(-2), ["dropped 500", "next"]);
    });

    it("drops lines instead of waiting for a slow reader", () => {
        const { lines, output, writer } = createFixture();
        output.writableLength = 1024 * 1024;
        writer.write("line");
        assert.deepEqual(lines, []);
        output.writableLength = 0;
        writer.write("next");
        assert.deepEqual(lines, ["dropped 1", "next"]);
    });
});
