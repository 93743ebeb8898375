import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BlockPool } from "../../../src/connection/caller/blockPool.ts";
import { BodyBuffer } from "../../../src/connection/caller/bodyBuffer.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";

const seed = 85;

describe("BodyBuffer", () => {
    it("returns what was added, whatever the sizes of the chunks", () => {
        const random = createSeededRandom(seed);
        const pool = BlockPool.create();
        for (let round = 0; round < 60; round += 1) {
            const largest = [1, 100, 5_000, 200_000][round % 4]!;
            const chunks = Array.from(
                { length: 1 + Math.floor(random() * 200) },
                (_item, index) => Buffer.alloc(Math.ceil(random() * largest), index % 251),
            );
            const expected = Buffer.concat(chunks);
            const body = BodyBuffer.create(round % 3 === 0 ? expected.length : 0, pool);
            for (const chunk of chunks) {
                body.append(chunk);
            }
            assert.equal(body.getLength(), expected.length);
            assert.ok(body.toBuffer().equals(expected));
            assert.equal(body.getHeldBytes(), chunks.length === 1 ? expected.length : 0);
        }
    });

    it("keeps the only chunk of a small body as it is", () => {
        const body = BodyBuffer.create(0);
        const chunk = Buffer.from("small");
        body.append(chunk);
        assert.equal(body.toBuffer(), chunk);
    });

    it("is empty without a chunk", () => {
        assert.equal(BodyBuffer.create(0).toBuffer().length, 0);
    });

    it("holds hardly more than its chunks, however small they are", () => {
        const body = BodyBuffer.create(0);
        for (let count = 0; count < 300_000; count += 1) {
            body.append(Buffer.from("x"));
        }
        assert.ok(body.getHeldBytes() < 300_000 + 64 * 1024, String(body.getHeldBytes()));
    });

    it("gives its blocks back, also if it is not complete", () => {
        const pool = BlockPool.create();
        const taken = new Set<Buffer>();
        for (let round = 0; round < 3; round += 1) {
            const body = BodyBuffer.create(0, pool);
            for (let count = 0; count < 10; count += 1) {
                body.append(Buffer.alloc(64 * 1024));
            }
            body.release();
            body.release();
            const blocks = Array.from({ length: 10 }, () => pool.take());
            for (const block of blocks) {
                taken.add(block);
                pool.give(block);
            }
        }
        assert.equal(taken.size, 10);
    });
});
