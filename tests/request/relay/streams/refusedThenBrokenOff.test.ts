import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };
/** Longer than the pauses between attempts. */
const waitMilliseconds = 3_000;

describe("StreamRelay", () => {
    // Guards against a stream that runs again and again on an endpoint that breaks it off, because that had refused it once before.
    it("doesn't return to an endpoint that has broken it off after it had refused it", async () => {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true });
        const { bench } = stream;
        stream.detector.remove(stream.relay);
        stream.begin();
        stream.getLast().listener.onFailure(broken);
        stream.markSent();
        stream.getLast().listener.onHead(503, { "request-id": "request", "not-executed": "1" });
        stream.getLast().listener.onEnd();
        await bench.clock.advance(waitMilliseconds);
        assert.equal(bench.sentRequests.length, 3);
        stream.markSent();
        stream.getLast().listener.onHead(200, { "request-id": "request", "response-seal": "s" });
        stream.sendEvent(2);
        stream.getLast().listener.onFailure(broken);
        await bench.clock.advance(waitMilliseconds);
        assert.equal(bench.sentRequests.length, 3);
        assert.deepEqual(bench.answers, ["200", "cut"]);
    });
});
