import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };

describe("StreamRelay", () => {
    // Guards against an answer that ends as complete because an endpoint crashed before its first event, while another goes on with it.
    it("stays with a run if another one ends without an event and only with its connection", () => {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true });
        stream.begin();
        const first = stream.getLast();
        stream.suspectFirst();
        stream.markSent();
        stream.getLast().listener.onHead(200, { "request-id": "request", "response-seal": "s" });
        stream.getLast().listener.onEnd();
        assert.ok(!first.isAborted);
        first.listener.onData(Buffer.from("id: 2\ndata: x\n\n"));
        assert.equal(stream.relay.attempts.list().length, 1);
    });
});
