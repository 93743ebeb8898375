import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OwnersCache } from "../../../src/process/membership/ownersCache.ts";

describe("OwnersCache", () => {
    /** Ranks the nodes in the order given, and counts the calls. */
    function createCache() {
        const counts = { calls: 0 };
        const cache = OwnersCache.create({
            getOwners: (key, nodeIds, count) => {
                counts.calls += 1;
                return [...nodeIds].map(nodeId => `${key}/${nodeId}`).slice(0, count);
            },
        });
        return { cache, counts };
    }

    it("ranks the nodes of a key again only after the nodes or the count change, so that a lost node keeps no duty", () => {
        const { cache, counts } = createCache();
        assert.deepEqual(cache.getOwners("k", ["a", "b", "c"], 2), ["k/a", "k/b"]);
        assert.deepEqual(cache.getOwners("k", ["a", "b", "c"], 2), ["k/a", "k/b"]);
        assert.equal(counts.calls, 1);
        assert.deepEqual(cache.getOwners("k", ["b", "c"], 2), ["k/b", "k/c"]);
        assert.deepEqual(cache.getOwners("k", ["b", "d"], 2), ["k/b", "k/d"]);
        assert.deepEqual(cache.getOwners("k", ["b", "d"], 1), ["k/b"]);
        assert.deepEqual(cache.getOwners("other", ["b", "d"], 1), ["other/b"]);
        assert.equal(counts.calls, 5);
    });

    it("returns copies, so that a caller that changes a result doesn't change later ones", () => {
        const { cache } = createCache();
        cache.getOwners("k", ["a"], 1).push("x");
        assert.deepEqual(cache.getOwners("k", ["a"], 1), ["k/a"]);
    });

    it("holds a bounded number of keys", () => {
        const { cache, counts } = createCache();
        for (let index = 0; index < 1_000; index++) {
            cache.getOwners(String(index), ["a"], 1);
        }
        cache.getOwners("0", ["a"], 1);
        assert.equal(counts.calls, 1_001);
    });
});
