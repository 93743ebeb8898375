import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { DocumentRelay } from "../../../../src/request/relay/documents/documentRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint } from "../relayModel.ts";

function start(kind: RequestKind): RelayBench {
    const bench = RelayBench.create([createEndpoint("1"), createEndpoint("2")]);
    DocumentRelay.start(bench.environment, bench.createTask(kind), () => undefined);
    return bench;
}

/** Starts an idempotent request whose route allows some attempts. */
function startRepeatable(endpointIds: readonly string[], maximumAttempts: number): RelayBench {
    const bench = RelayBench.create(endpointIds.map(id => createEndpoint(id)));
    const task = bench.createTask(RequestKind.Idempotent);
    const route = { ...task.route, maximumAttempts };
    DocumentRelay.start(bench.environment, { ...task, route, dueAt: 4_000 }, () => undefined);
    return bench;
}

type SentRequest = RelayBench["sentRequests"][number];

function breakOff(sent: SentRequest | undefined): void {
    sent!.sentAt = 0;
    sent!.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
}

function refuse(sent: SentRequest | undefined): void {
    sent!.sentAt = 0;
    sent!.listener.onHead(503, { "request-id": "request", "not-executed": "1" });
    sent!.listener.onEnd();
}

function answer(sent: SentRequest | undefined): void {
    sent!.sentAt = 0;
    sent!.listener.onHead(200, { "request-id": "request", "response-seal": "s" });
    sent!.listener.onEnd();
}

describe("DocumentRelay", () => {
    it("sends a non-idempotent request to another endpoint if the first one accepts no connection", async () => {
        const bench = start(RequestKind.NonIdempotent);
        await bench.clock.advance(90);
        assert.equal(bench.sentRequests.length, 2);
        assert.ok(bench.sentRequests[0]!.isAborted);
        assert.notEqual(bench.sentRequests[1]!.address, bench.sentRequests[0]!.address);
    });

    it("doesn't resend a non-idempotent request of which a byte was sent, and answers that it may have run", async () => {
        const bench = start(RequestKind.NonIdempotent);
        bench.sentRequests[0]!.sentAt = 0;
        await bench.clock.advance(1_100);
        assert.equal(bench.sentRequests.length, 1);
        assert.deepEqual(bench.answers, ["timedOut"]);
    });

    it("sends a request that was withheld from an endpoint to another one, without considering the first one unavailable", () => {
        const bench = start(RequestKind.NonIdempotent);
        const [first] = bench.sentRequests;
        first!.listener.onFailure({ kind: UpstreamFailureKind.Withheld, message: "withheld" });
        assert.equal(bench.sentRequests.length, 2);
        assert.notEqual(bench.sentRequests[1]!.address, first!.address);
        assert.deepEqual(bench.environment.health.getSuspicions(0), []);
    });

    // Guards against 502 for a request whose endpoint was silent while its path was tested: the attempt was aborted although no other one
    // could be sent.
    it("keeps the attempt of an idempotent request whose path seems lost if there is no other", async () => {
        const bench = RelayBench.create([createEndpoint("1")]);
        bench.pathState = PathState.Lost;
        DocumentRelay.start(bench.environment, bench.createTask(RequestKind.Idempotent), () => undefined);
        const [sent] = bench.sentRequests;
        sent!.sentAt = 0;
        await bench.clock.advance(500);
        assert.ok(!sent!.isAborted);
        assert.deepEqual(bench.answers, []);
        sent!.listener.onHead(200, { "request-id": "request", "response-seal": "s" });
        sent!.listener.onEnd();
        assert.deepEqual(bench.answers, ["200"]);
    });

    it("sends an idempotent request to the same endpoint over another path if one is lost and its route allows no second endpoint", async () => {
        const bench = RelayBench.create([createEndpoint("1"), createEndpoint("2")]);
        bench.environment.retryBudget.observeRequest();
        bench.pathState = PathState.Lost;
        DocumentRelay.start(bench.environment, bench.createTask(RequestKind.Idempotent), () => undefined);
        bench.sentRequests[0]!.sentAt = 0;
        // The other endpoint would be preferred.
        bench.environment.health.markUnavailable(bench.sentRequests[0]!.address.endsWith(":1") ? "1" : "2", 0);
        await bench.clock.advance(500);
        const [first, second, ...others] = bench.sentRequests.map(({ address }) => address);
        assert.equal(second, first);
        assert.deepEqual(others, []);
    });

    it("answers that the request was not run if no endpoint accepted a connection", async () => {
        for (const kind of [RequestKind.NonIdempotent, RequestKind.Idempotent]) {
            const bench = start(kind);
            await bench.clock.advance(1_100);
            assert.deepEqual(bench.answers, ["notRun"], kind);
        }
    });

    // Guards against 502 for a request that another endpoint would have answered: a refusal without a run used up an attempt.
    it("doesn't count an endpoint that refused the request against the route's maximum after another one may have run it", () => {
        const bench = startRepeatable(["1", "2", "3"], 2);
        breakOff(bench.sentRequests[0]);
        refuse(bench.sentRequests[1]);
        answer(bench.sentRequests[2]);
        assert.deepEqual(bench.answers, ["200"]);
    });

    // Guards against 502 within milliseconds for a request that may have run, since all other endpoints were full for a moment.
    it("asks endpoints that refused an idempotent request again later if one may have run it", async () => {
        const bench = startRepeatable(["1", "2"], 2);
        breakOff(bench.sentRequests[0]);
        refuse(bench.sentRequests[1]);
        assert.deepEqual(bench.answers, []);
        await bench.clock.advance(1_000);
        for (const sent of bench.sentRequests.slice(2)) {
            refuse(sent);
        }
        await bench.clock.advance(400);
        answer(bench.sentRequests.at(-1));
        assert.deepEqual(bench.answers, ["200"]);
    });

    it("limits the wait of a request that may have run, the number of attempts in it and the number of its runs", async () => {
        const bench = startRepeatable(["1", "2"], 2);
        breakOff(bench.sentRequests[0]);
        let answered = 1;
        for (let now = 0; now < 2_000 && bench.answers.length === 0; now += 10) {
            for (; answered < bench.sentRequests.length; answered += 1) {
                refuse(bench.sentRequests[answered]);
            }
            await bench.clock.advance(10);
        }
        assert.deepEqual(bench.answers, ["outcomeUnknown"]);
        assert.ok(answered <= 10, `${answered} attempts`);
        const broken = startRepeatable(["1", "2"], 2);
        breakOff(broken.sentRequests[0]);
        breakOff(broken.sentRequests[1]);
        assert.deepEqual(broken.answers, ["outcomeUnknown"]);
    });

    it("waits for its retry budget if a request may have run", async () => {
        const bench = startRepeatable(["1", "2"], 2);
        while (bench.environment.retryBudget.takeRetry(0)) {
            // The budget grows by one retry a second.
        }
        breakOff(bench.sentRequests[0]);
        assert.deepEqual(bench.answers, []);
        await bench.clock.advance(1_500);
        assert.equal(bench.sentRequests.length, 2);
        answer(bench.sentRequests[1]);
        assert.deepEqual(bench.answers, ["200"]);
    });
});
