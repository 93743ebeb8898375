import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AnswerSink } from "../../../../src/request/relay/answers/answerSink.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
const model = { ...relayModel, kinds };
const layers = { start: 0, end: 80 };

describe("StreamRelay", () => {
    // Guards against an answer with the head of one run and the events of another that was not its continuation.
    it("begins the answer with the head of the attempt that makes progress, not of one that sent a comment only", () => {
        const bench = RelayBench.create(["1", "2"].map(id => createEndpoint(id, { layers })));
        bench.environment.retryBudget.observeRequest();
        const task = bench.createTask(RequestKind.Stream, true);
        const signatures: string[] = [];
        const sink: AnswerSink = {
            ...task.sink,
            writeHead: head => signatures.push(head.headers.includes("first") ? "first" : "second"),
        };
        const route = { ...task.route, maximumAttempts: 2 };
        const relay = StreamRelay.create(bench.environment, { ...task, sink, route }, model, () => undefined);
        relay.start();
        const first = bench.sentRequests[0]!;
        first.sentAt = 0;
        relay.moves.hedge([relay.attempts.getStages()![0]!.endpoint.id], "the first stage does not answer.");
        const second = bench.sentRequests[1]!;
        second.sentAt = 0;
        second.listener.onHead(200, { "request-id": "request", "response-seal": "second" });
        second.listener.onData(Buffer.from(": comment\n\n"));
        first.listener.onHead(200, { "request-id": "request", "response-seal": "first" });
        first.listener.onData(Buffer.from("id: 1\ndata: x\n\n"));
        assert.deepEqual(signatures, ["first"]);
    });
});
