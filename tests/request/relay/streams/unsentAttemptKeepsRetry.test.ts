import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const endpoints = ["1", "2", "3"].map(id => createEndpoint(id, { layers }));

function start() {
    const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 3 });
    const { environment, clock } = stream.bench;
    const before = environment.retryBudget.getBalance(clock.getMonotonicTime());
    const countTaken = () => before - environment.retryBudget.getBalance(clock.getMonotonicTime());
    return { stream, countTaken };
}

describe("StreamRelay", () => {
    // Guards against a budget that is used up by attempts of which no endpoint has got a byte.
    it("returns to the retry budget what an attempt took that ends before a byte of it was sent", () => {
        const ends: ((stream: SuspectBench) => void)[] = [
            ({ bench }) => bench.sentRequests[0]!.listener.onData(Buffer.from("id: 2\ndata: x\n\n")),
            ({ relay }) => relay.moves.abandonChain([], "the first stage does not answer."),
            ({ bench }) => bench.leave(),
        ];
        for (const end of ends) {
            const { stream, countTaken } = start();
            stream.begin();
            stream.suspectFirst();
            assert.equal(stream.bench.sentRequests.length, 2);
            assert.equal(countTaken(), 1);
            end(stream);
            assert.equal(countTaken(), 0);
        }
    });

    it("takes one retry for an attempt that is sent after one that was not", () => {
        const { stream, countTaken } = start();
        const { sentRequests } = stream.bench;
        sentRequests[0]!.listener.onHead(503, { "request-id": "request", "not-executed": "1" });
        sentRequests[0]!.listener.onEnd();
        assert.equal(sentRequests.length, 2);
        assert.equal(countTaken(), 1);
        sentRequests[1]!.listener.onFailure({ kind: UpstreamFailureKind.NotSent, message: "refused" });
        assert.equal(sentRequests.length, 3);
        assert.equal(countTaken(), 1);
        stream.markSent();
        stream.bench.leave();
        assert.equal(countTaken(), 1);
    });
});
