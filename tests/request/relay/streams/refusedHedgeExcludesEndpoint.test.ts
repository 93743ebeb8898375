import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
/** Longer than an endpoint that has refused a request is left alone. */
const waitMilliseconds = 1_000;

describe("StreamRelay", () => {
    // Guards against 502 for a request whose run ends, because all other endpoints had refused it once, some time ago.
    it("returns to an endpoint that refused the request some time ago, if the run beside it ends before its first event", async () => {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true });
        const { bench } = stream;
        stream.detector.remove(stream.relay);
        const first = stream.getLast();
        stream.suspectFirst();
        const second = stream.markSent();
        stream.getLast().listener.onHead(503, { "request-id": "request", "not-executed": "1" });
        stream.getLast().listener.onEnd();
        await bench.clock.advance(waitMilliseconds);
        first.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
        assert.deepEqual(bench.answers, []);
        await bench.clock.advance(waitMilliseconds);
        assert.equal(bench.sentRequests.length, 3);
        assert.equal(stream.getFirstId(), second);
    });
});
