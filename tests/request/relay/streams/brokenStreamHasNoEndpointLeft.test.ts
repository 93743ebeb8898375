import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };
const head = { "request-id": "request", "response-seal": "s" };
const runMilliseconds = 50;
/** Longer than the pauses between attempts. */
const waitMilliseconds = 3_000;

/** Starts a stream that both endpoints break off that its route allows. */
async function breakOffTwice(): Promise<SuspectBench> {
    const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
    const stream = SuspectBench.create({ endpoints, isResumable: true });
    const { bench, detector, relay } = stream;
    bench.pathState = PathState.Open;
    detector.remove(relay);
    stream.begin();
    await bench.clock.advance(runMilliseconds);
    stream.getLast().listener.onFailure(broken);
    stream.markSent();
    stream.getLast().listener.onHead(200, head);
    stream.sendEvent(2);
    await bench.clock.advance(runMilliseconds);
    stream.getLast().listener.onFailure(broken);
    return stream;
}

describe("StreamRelay", () => {
    // Guards against cutting a stream whose endpoints have all broken it off once, although they go on with others.
    it("returns to an endpoint that has broken it off if that can be reached and no other may run it", async () => {
        const stream = await breakOffTwice();
        const { bench } = stream;
        assert.equal(bench.sentRequests.length, 2);
        await bench.clock.advance(waitMilliseconds);
        assert.equal(bench.sentRequests.length, 3);
        stream.markSent();
        stream.getLast().listener.onHead(200, head);
        stream.sendEvent(3);
        stream.getLast().listener.onEnd();
        assert.deepEqual(bench.answers, ["200"]);
        assert.equal(stream.relay.attempts.list().length, 0);
    });
});
