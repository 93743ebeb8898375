import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLoad } from "../../../src/request/chain/endpointLoad.ts";

describe("applyReport", () => {
    it("adds the sequences that this node started after the report was sampled", () => {
        const load = EndpointLoad.create();
        load.addSequence(100);
        load.addSequence(900);
        load.addSequence(950);
        // Sampled at 500: of the five sequences one is this node's, so four belong to other nodes.
        load.applyReport({ queue: 3, sequences: 5, freePositions: 10 }, 500);
        assert.equal(load.getSequenceCount(), 7);
        assert.equal(load.getQueueLength(), 5);
        load.removeSequence(1_000);
        assert.equal(load.getSequenceCount(), 6);
    });
});
