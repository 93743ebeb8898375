import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const suspicionMilliseconds = 5_000;

describe("StreamRelay.hedge", () => {
    // Guards against a cut answer although the endpoint that it left for a silence has been heard again since.
    it("returns to an endpoint that is no longer suspect if the next one crashes", async () => {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 3 });
        const { clock, environment } = stream.bench;
        stream.begin();
        const first = stream.getFirstId();
        stream.suspectFirst();
        stream.markSent();
        // The second endpoint continues the stream; the detector must not suspect it.
        stream.detector.remove(stream.relay);
        stream.getLast().listener.onHead(200, { "request-id": "request", "response-seal": "s" });
        stream.sendEvent(2);
        await clock.advance(suspicionMilliseconds);
        environment.health.addSuccess(first, clock.getMonotonicTime());
        environment.health.markAlive(first, clock.getMonotonicTime());
        stream.getLast().listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
        assert.deepEqual(stream.bench.answers, ["200"]);
        assert.equal(stream.getFirstId(), first);
    });
});
