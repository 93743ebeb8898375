import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GarbageCollector } from "../../../src/process/memory/garbageCollector.ts";

const mebibyte = 1024 * 1024;

describe("GarbageCollector", () => {
    function create(getUsedBytes: () => number) {
        const counts = { collectedNew: 0, collectedAll: 0 };
        const collector = GarbageCollector.create({
            collectNew: () => counts.collectedNew += 1,
            collectAll: () => counts.collectedAll += 1,
            getUsedBytes,
        });
        return { collector, counts };
    }

    it("collects new objects each time that many buffers were received", () => {
        const { collector, counts } = create(() => 0);
        for (let count = 0; count < 47; count += 1) {
            collector.noteBuffer(mebibyte);
        }
        assert.deepEqual(counts, { collectedNew: 2, collectedAll: 0 });
    });

    it("collects all objects only after much memory was added to the least that was in use", () => {
        let used = 100 * mebibyte;
        const { collector, counts } = create(() => used);
        collector.review();
        used = 60 * mebibyte;
        collector.review();
        used = 108 * mebibyte;
        collector.review();
        assert.equal(counts.collectedAll, 0);
        used += 1;
        collector.review();
        assert.equal(counts.collectedAll, 1);
        collector.review();
        assert.equal(counts.collectedAll, 1);
    });
});
