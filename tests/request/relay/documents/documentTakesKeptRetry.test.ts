import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { DocumentRelay } from "../../../../src/request/relay/documents/documentRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint } from "../relayModel.ts";

/** Starts an idempotent request at a node that has one retry and a stream that has begun. */
function start() {
    const bench = RelayBench.create(["1", "2"].map(id => createEndpoint(id)));
    const { retryBudget, streamRetries } = bench.environment;
    while (retryBudget.getBalance(0) >= 2) {
        retryBudget.takeRetry(0);
    }
    streamRetries.noteBegun({});
    const task = bench.createTask(RequestKind.Idempotent);
    const route = { ...task.route, maximumAttempts: 2 };
    DocumentRelay.start(bench.environment, { ...task, route }, () => undefined);
    const sent = bench.sentRequests[0]!;
    sent.sentAt = 0;
    return { bench, sent };
}

describe("DocumentRelay", () => {
    // Guards against streams that can't continue because requests that could be refused have used up the budget.
    it("leaves the last retry to streams that have begun while the request is only late or has not run", async () => {
        const late = start();
        await late.bench.clock.advance(70);
        assert.equal(late.bench.sentRequests.length, 1);
        const refused = start();
        refused.sent.listener.onHead(503, { "request-id": "request", "not-executed": "1" });
        refused.sent.listener.onEnd();
        assert.equal(refused.bench.sentRequests.length, 1);
    });

    // Guards against 502 for a request that may have run, because requests that could be refused have used up the budget.
    it("takes the last retry if the request may have run and no endpoint runs it", () => {
        const { bench, sent } = start();
        sent.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
        assert.equal(bench.sentRequests.length, 2);
    });
});
