import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const comment = Buffer.from(":\n\n");
const longComment = Buffer.from(`:${"x".repeat(100_000)}\n\n`);

// Guards against streams that stay on an endpoint which sends comments and no event, until their callers give up.
describe("StreamRelay", () => {
    function begin(): SuspectBench {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true });
        stream.begin();
        return stream;
    }

    it("doesn't take comments for progress", async () => {
        const stream = begin();
        const progressAt = stream.relay.attempts.getLastProgress();
        await stream.bench.clock.advance(100);
        stream.getLast().listener.onData(comment);
        assert.equal(stream.relay.attempts.getLastProgress(), progressAt);
        stream.sendEvent(2);
        assert.notEqual(stream.relay.attempts.getLastProgress(), progressAt);
    });

    it("continues a stream elsewhere that has too many bytes of comments between two events", () => {
        const stream = begin();
        const { listener } = stream.getLast();
        for (const bytes of [longComment, longComment]) {
            listener.onData(bytes);
        }
        stream.sendEvent(2);
        for (const bytes of [longComment, longComment, longComment]) {
            assert.equal(stream.bench.sentRequests.length, 1);
            listener.onData(bytes);
        }
        assert.equal(stream.bench.sentRequests.length, 2);
        assert.ok(stream.bench.sentRequests[0]!.isAborted);
    });
});
