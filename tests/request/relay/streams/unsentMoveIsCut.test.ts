import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };

describe("StreamRelay.hedge", () => {
    // Guards against a cut answer whose next run waits for a connection to an endpoint that is only slow to accept it.
    it("keeps a stream that has begun and waits for a connection to its next endpoint, if there is no other", () => {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 3 });
        stream.begin();
        stream.suspectFirst();
        assert.equal(stream.bench.sentRequests.length, 2);
        stream.suspectFirst();
        assert.deepEqual(stream.bench.answers, ["200"]);
    });
});
