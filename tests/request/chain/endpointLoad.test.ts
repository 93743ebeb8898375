import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLoad } from "../../../src/request/chain/endpointLoad.ts";

describe("applyReport", () => {
    it("adds what this node sent since the figures were taken", () => {
        const load = EndpointLoad.create();
        load.addSequence(100);
        load.addSequence(900);
        load.addSequence(950);
        // Taken at 500: one own sequence of the five, so four of other nodes.
        load.applyReport({ queue: 3, sequences: 5, freePositions: 10 }, 500);
        assert.equal(load.getSequences(), 7);
        assert.equal(load.getQueue(), 5);
        load.removeSequence(1_000);
        assert.equal(load.getSequences(), 6);
    });
});
