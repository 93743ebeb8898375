import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { breakOffTwice } from "./breakOffTwice.ts";

const head = { "request-id": "request", "response-seal": "s" };
/** Longer than the pauses between attempts. */
const waitMilliseconds = 3_000;

describe("StreamRelay", () => {
    // Guards against cutting a stream whose endpoints have all broken it off once, although they go on with others.
    it("returns to an endpoint that has broken it off if that can be reached and no other may run it", async () => {
        const stream = await breakOffTwice(2, PathState.Open);
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
