import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "../streams/suspectBench.ts";

describe("StallDetector", () => {
    // Guards against a cut answer whose sound first stage could still be told to move the stream.
    it("keeps a stream on its sound first stage if a later stage restarts and the first order to move it fails", async () => {
        const endpoints = [
            createEndpoint("1", { layers: { start: 0, end: 40 } }),
            ...["2", "3"].map(id => createEndpoint(id, { layers: { start: 40, end: 80 } })),
        ];
        const stream = SuspectBench.create({ endpoints, isResumable: false });
        stream.begin();
        stream.detector.handleEndpointRestart(stream.relay.attempts.getStages()![1]!.endpoint);
        await stream.bench.clock.advance(1);
        assert.deepEqual(stream.bench.answers, ["200"]);
        assert.equal(stream.getLast().isAborted, false);
    });
});
