import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };
const notSent = { kind: UpstreamFailureKind.NotSent, message: "connection refused" };
/** Longer than the pauses between attempts. */
const waitMilliseconds = 3_000;

/** Starts a stream on one of two endpoints, with its first event. */
function begin(): SuspectBench {
    const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
    const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 3 });
    stream.begin();
    return stream;
}

describe("StreamRelay", () => {
    // Guards against a cut answer for an endpoint that could not be reached for a moment and has received nothing.
    it("waits for an endpoint to which a stream that has begun could not be sent", async () => {
        const stream = begin();
        stream.getLast().listener.onFailure(broken);
        const second = stream.getFirstId();
        stream.getLast().listener.onFailure(notSent);
        assert.deepEqual(stream.bench.answers, ["200"]);
        await stream.bench.clock.advance(waitMilliseconds);
        assert.equal(stream.markSent(), second);
        stream.getLast().listener.onHead(200, { "request-id": "request", "response-seal": "s" });
        stream.sendEvent(2);
        assert.deepEqual(stream.bench.answers, ["200"]);
    });

    // Guards against a stream that asks an endpoint without a process for a connection again and again, within milliseconds.
    it("tries an endpoint that it can't reach a few times a second only", async () => {
        const stream = begin();
        stream.getLast().listener.onFailure(broken);
        let handled = 1;
        for (let waited = 0; waited < waitMilliseconds; waited += 10) {
            for (const { listener } of stream.bench.sentRequests.slice(handled)) {
                handled += 1;
                listener.onFailure(notSent);
            }
            await stream.bench.clock.advance(10);
        }
        const { length } = stream.bench.sentRequests;
        assert.ok(length > 3 && length <= 12, `It was sent ${length} times.`);
    });

    // Guards against a cut answer although the endpoint that was left before a byte was sent to it has received nothing.
    it("returns to an endpoint that it has left before it was sent there", async () => {
        const stream = begin();
        const first = stream.getLast();
        stream.suspectFirst();
        const second = stream.getFirstId();
        stream.suspectFirst();
        assert.ok(stream.getLast().isAborted);
        stream.detector.remove(stream.relay);
        first.listener.onFailure(broken);
        await stream.bench.clock.advance(waitMilliseconds);
        assert.deepEqual(stream.bench.answers, ["200"]);
        assert.equal(stream.getFirstId(), second);
    });
});
