import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnsweredParts } from "../../../../src/request/relay/quarantine/answeredParts.ts";

describe("AnsweredParts", () => {
    it("keeps the latest answer", () => {
        const parts = AnsweredParts.create();
        assert.equal(parts.getTime("a"), undefined);
        parts.add("a", 20);
        parts.add("a", 10);
        assert.equal(parts.getTime("a"), 20);
    });

    it("announces answered parts for some seconds after they were suspected", () => {
        const parts = AnsweredParts.create();
        parts.noteSuspected("never", 0);
        parts.add("a", 10);
        assert.deepEqual(parts.listSuspected(20), []);
        parts.noteSuspected("a", 20);
        assert.deepEqual(parts.listSuspected(4_000), [{ key: "a", at: 10 }]);
        assert.deepEqual(parts.listSuspected(6_000), []);
    });

    // Guards against two nodes that advance each other's times by the delay between them at each exchange.
    it("takes over a time of a peer only if it is later by more than the delay between nodes", () => {
        const [first, second] = [AnsweredParts.create(), AnsweredParts.create()];
        first.add("a", 0);
        for (let round = 0; round < 100; round++) {
            second.addOfPeer("a", first.getTime("a")! + 20);
            first.addOfPeer("a", second.getTime("a")! + 20);
        }
        assert.equal(first.getTime("a"), 0);
        first.addOfPeer("a", 600);
        assert.equal(first.getTime("a"), 600);
    });
});
