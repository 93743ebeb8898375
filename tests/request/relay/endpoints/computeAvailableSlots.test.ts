import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeAvailableSlots } from "../../../../src/request/relay/endpoints/computeAvailableSlots.ts";

describe("computeAvailableSlots", () => {
    it("returns all but a margin of the free slots", () => {
        assert.equal(computeAvailableSlots({ used: 40, total: 100, share: 0.1 }), 55);
    });

    it("returns the node's share of the slots if few are free", () => {
        assert.equal(computeAvailableSlots({ used: 96, total: 100, share: 0.5 }), 2);
    });

    it("returns all free slots to a node that has all of the demand", () => {
        assert.equal(computeAvailableSlots({ used: 40, total: 100, share: 1 }), 60);
    });

    it("leaves no part of a slot free, so that a node with a small share uses each slot of a small endpoint", () => {
        assert.equal(computeAvailableSlots({ used: 0, total: 1, share: 0.01 }), 1);
        assert.equal(computeAvailableSlots({ used: 3, total: 4, share: 0.01 }), 1);
        assert.equal(computeAvailableSlots({ used: 18, total: 20, share: 0.01 }), 1);
    });

    it("is not positive if no slot is free", () => {
        assert.ok(computeAvailableSlots({ used: 110, total: 100, share: 0.1 }) <= 0);
    });
});
