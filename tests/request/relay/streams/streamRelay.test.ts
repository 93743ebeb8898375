import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import type { UpstreamListener } from "../../../../src/connection/upstream/upstreamListener.ts";
import { events } from "../../../../src/process/logging/events.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
/** One endpoint holds all layers. */
const model = { ...relayModel, kinds };

function start(ids: string[]) {
    const bench = RelayBench.create(ids.map(id => createEndpoint(id, { layers })));
    const relay = StreamRelay.create(bench.environment, bench.createTask(RequestKind.Stream), model, () => undefined);
    relay.start();
    return { bench, relay };
}

describe("StreamRelay", () => {
    it("retries on another chain if its first stage is abandoned before a byte was sent, even if it is not resumable", () => {
        const { bench, relay } = start(["1", "2"]);
        relay.moves.abandonChain([relay.attempts.getStages()![0]!.endpoint.id], "the first stage does not answer.");
        assert.equal(bench.sentRequests.length, 2);
        assert.deepEqual(bench.answers, []);
    });

    it("reports that the request was not run if no byte was sent", () => {
        const { bench, relay } = start(["1"]);
        relay.moves.abandonChain(["1"], "the first stage does not answer.");
        assert.deepEqual(bench.answers, ["notRun"]);
    });

    it("reports an unknown outcome if bytes of the request were sent", () => {
        const { bench, relay } = start(["1", "2"]);
        bench.sentRequests[0]!.sentAt = 0;
        relay.moves.abandonChain(["1", "2"], "the first stage does not answer.");
        assert.deepEqual(bench.answers, ["outcomeUnknown"]);
    });

    describe("hedge", () => {
        /** Starts a request on one of several endpoints, of which it may suspect the first stage. */
        function startSent(ids: string[], isResumable: boolean) {
            const bench = RelayBench.create(ids.map(id => createEndpoint(id, { layers })));
            bench.environment.retryBudget.observeRequest();
            const task = bench.createTask(RequestKind.Stream, isResumable);
            const twice = { ...task, route: { ...task.route, maximumAttempts: 2 } };
            const relay = StreamRelay.create(bench.environment, twice, model, () => undefined);
            relay.start();
            const [sent] = bench.sentRequests;
            sent!.sentAt = 0;
            const first = relay.attempts.getStages()![0]!.endpoint.id;
            const suspect = (ids = [first]) => relay.moves.hedge(ids, "the first stage does not answer.");
            return { bench, sent: sent!, first, relay, suspect };
        }

        function sendEvent({ listener }: { listener: UpstreamListener; }, id: number): void {
            listener.onData(Buffer.from(`id: ${id}\ndata: x\n\n`));
        }

        function begin(sent: { listener: UpstreamListener; }): void {
            sent.listener.onHead(200, { "request-id": "request", "response-seal": "s" });
            sendEvent(sent, 1);
        }

        // Guards against a run that is ended for a chain whose endpoint then refuses the request.
        it("sends a resumable stream over another chain and ends the first run only when the other one makes progress", () => {
            for (const hasBegun of [true, false]) {
                const { bench, sent, suspect } = startSent(["1", "2"], true);
                if (hasBegun) {
                    begin(sent);
                }
                suspect();
                assert.equal(bench.sentRequests.length, 2);
                assert.ok(!sent.isAborted);
                const second = bench.sentRequests[1]!;
                second.sentAt = 0;
                second.listener.onHead(200, { "request-id": "request", "response-seal": "s" });
                assert.ok(!sent.isAborted);
                sendEvent(second, hasBegun ? 2 : 1);
                assert.ok(sent.isAborted);
                assert.ok(!second.isAborted);
            }
        });

        it("ends the other run if the first one makes progress before it", () => {
            const { bench, sent, first, relay, suspect } = startSent(["1", "2"], true);
            begin(sent);
            suspect();
            const second = bench.sentRequests[1]!;
            second.sentAt = 0;
            sendEvent(sent, 2);
            assert.ok(second.isAborted);
            assert.ok(!sent.isAborted);
            assert.equal(relay.attempts.getStages()![0]!.endpoint.id, first);
        });

        it("stays with the first run if the endpoints of the other chain refuse the request", () => {
            for (const hasBegun of [true, false]) {
                const { bench, sent, first, relay, suspect } = startSent(["1", "2"], true);
                if (hasBegun) {
                    begin(sent);
                }
                suspect();
                const second = bench.sentRequests[1]!;
                second.sentAt = 0;
                second.listener.onHead(503, { "request-id": "request", "not-executed": "1" });
                second.listener.onEnd();
                assert.ok(!sent.isAborted);
                assert.equal(relay.attempts.getStages()![0]!.endpoint.id, first);
                assert.deepEqual(bench.answers, hasBegun ? ["200"] : []);
            }
        });

        it("continues with the other run if the first one ends", () => {
            const { bench, sent, suspect } = startSent(["1", "2"], true);
            begin(sent);
            suspect();
            const second = bench.sentRequests[1]!;
            second.sentAt = 0;
            sent.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
            assert.equal(bench.sentRequests.length, 2);
            assert.ok(!second.isAborted);
            second.listener.onHead(200, { "request-id": "request", "response-seal": "s" });
            sendEvent(second, 2);
            second.listener.onEnd();
            assert.equal(
                bench.log.fields[bench.log.numbers.indexOf(events.relayEnded.number)]?.["outcome"],
                "answered",
            );
        });

        it("ends all runs when the caller leaves", () => {
            const { bench, suspect } = startSent(["1", "2"], true);
            suspect();
            bench.leave();
            assert.ok(bench.sentRequests.every(({ isAborted }) => isAborted));
            assert.deepEqual(bench.environment.loads.getOwnLoads(), []);
        });

        it("ends an earlier run whose endpoint has restarted", () => {
            const { bench, sent, first, relay, suspect } = startSent(["1", "2"], true);
            begin(sent);
            suspect();
            relay.moves.abandonEarlierAttempts(first, "a stage has restarted.");
            assert.ok(sent.isAborted);
            assert.ok(!bench.sentRequests[1]!.isAborted);
            assert.deepEqual(bench.answers, ["200"]);
        });

        // Guards against cut answers, and against 502, for endpoints that were silent for a second and would then have continued.
        it("leaves a stream where it is if it may not be resumed", () => {
            for (const hasBegun of [true, false]) {
                const { bench, sent, suspect } = startSent(["1", "2"], false);
                if (hasBegun) {
                    begin(sent);
                }
                suspect();
                assert.equal(bench.sentRequests.length, 1);
                assert.ok(!sent.isAborted);
                assert.deepEqual(bench.answers, hasBegun ? ["200"] : []);
            }
        });

        it("leaves a resumable stream where it is if there is no other chain", () => {
            const { bench, sent, suspect } = startSent(["1"], true);
            begin(sent);
            suspect();
            assert.ok(!sent.isAborted);
            assert.deepEqual(bench.answers, ["200"]);
        });

        it("leaves a resumable stream where it is if the other endpoints are suspect too", () => {
            const { bench, sent, first, suspect } = startSent(["1", "2"], true);
            begin(sent);
            bench.environment.health.markUnavailable(first === "1" ? "2" : "1", 0);
            suspect();
            assert.ok(!sent.isAborted);
        });

        it("leaves a resumable stream where it is if the retry budget is used up", () => {
            const { bench, sent, suspect } = startSent(["1", "2"], true);
            begin(sent);
            while (bench.environment.retryBudget.takeRetry(0)) {
                continue;
            }
            suspect();
            assert.ok(!sent.isAborted);
        });

        it("leaves a resumable stream where it is if its route allows no further endpoint and both suspects have received it", () => {
            const { bench, sent, first, relay, suspect } = startSent(["1", "2", "3"], true);
            begin(sent);
            suspect();
            const second = bench.sentRequests[1]!;
            second.sentAt = 0;
            suspect([first, relay.attempts.getStages()![0]!.endpoint.id]);
            assert.equal(bench.sentRequests.length, 2);
            assert.ok(!second.isAborted);
        });

        // Guards against streams that move to and fro between two slow endpoints, each time with their whole prompts.
        it("leaves a resumable stream where it is if it could only return to the endpoint that it has left", () => {
            const { bench, sent, relay, suspect } = startSent(["1", "2", "3"], true);
            begin(sent);
            suspect();
            bench.sentRequests[1]!.sentAt = 0;
            suspect([relay.attempts.getStages()![0]!.endpoint.id]);
            assert.equal(bench.sentRequests.length, 2);
        });

        it("returns a resumable stream to the endpoint that it has left once its run is over, if its route allows no other", () => {
            const { bench, sent, first, relay, suspect } = startSent(["1", "2", "3"], true);
            begin(sent);
            suspect();
            bench.sentRequests[1]!.sentAt = 0;
            bench.pathState = PathState.Lost;
            sent.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
            relay.moves.abandonChain(
                [relay.attempts.getStages()![0]!.endpoint.id],
                "the answer belongs to another request.",
            );
            assert.equal(bench.sentRequests.length, 3);
            assert.equal(relay.attempts.getStages()![0]!.endpoint.id, first);
        });
    });

    describe("a stream that has begun and is refused elsewhere", () => {
        const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };

        /** Starts a stream whose endpoint breaks off after the first event, and lets all endpoints refuse it for some time. */
        async function refuseFor(milliseconds: number) {
            const stream = SuspectBench.create({
                endpoints: ["1", "2", "3"].map(id => createEndpoint(id, { layers })),
                isResumable: true,
            });
            const { bench } = stream;
            stream.begin();
            stream.getLast().listener.onFailure(broken);
            let handled = 1;
            for (let waited = 0; waited < milliseconds; waited += 10) {
                for (const { listener } of bench.sentRequests.slice(handled)) {
                    listener.onHead(503, { "request-id": "request", "not-executed": "1" });
                    listener.onEnd();
                }
                handled = bench.sentRequests.length;
                await bench.clock.advance(10);
            }
            return { stream, bench };
        }

        // Guards against a cut answer for two refusals within milliseconds, although endpoints become free a second later.
        it("waits until an endpoint accepts it", async () => {
            const { stream, bench } = await refuseFor(900);
            assert.deepEqual(bench.answers, ["200"]);
            await bench.clock.advance(1_000);
            stream.markSent();
            stream.begin();
            stream.sendEvent(2);
            stream.getLast().listener.onEnd();
            assert.equal(
                bench.log.fields[bench.log.numbers.indexOf(events.relayEnded.number)]?.["outcome"],
                "answered",
            );
        });

        it("is sent a few times only", async () => {
            const { bench } = await refuseFor(1_500);
            assert.ok(bench.sentRequests.length <= 6, `It was sent ${bench.sentRequests.length} times.`);
        });

        it("ends when its time is over", async () => {
            const { bench } = await refuseFor(1_500);
            await bench.clock.advance(20_000);
            assert.deepEqual(bench.answers, ["200", "cut"]);
        });

        it("sends nothing after its caller has left", async () => {
            const { bench } = await refuseFor(300);
            const { length } = bench.sentRequests;
            bench.leave();
            await bench.clock.advance(5_000);
            assert.equal(bench.sentRequests.length, length);
        });
    });

    it("reports that the request was not run if it times out before a byte was sent", async () => {
        const { bench } = start(["1"]);
        await bench.clock.advance(1_100);
        assert.deepEqual(bench.answers, ["notRun"]);
    });

    // Guards against forwarding an unsigned success: an endpoint left the signature out for 1.8 s, the relay treated its answers as
    // failures ("the endpoint answered 200." in FL1711) and forwarded them, and 16 callers got status 200 with a complete answer.
    it("never forwards a success without a signature", () => {
        const { bench } = start(["1"]);
        const { listener } = bench.sentRequests[0]!;
        listener.onHead(200, { "request-id": "request" });
        listener.onData(Buffer.from("id: 1\ndata: x\n\n"));
        listener.onEnd();
        assert.deepEqual(bench.answers, ["outcomeUnknown"]);
    });

    /** Answers a request with a head and a body, and ends the answer regularly. */
    function answerOnce(headers: Record<string, string>, body: string) {
        const { bench } = start(["1"]);
        const [sentRequest] = bench.sentRequests;
        sentRequest!.sentAt = -100;
        sentRequest!.listener.onHead(200, { "request-id": "request", "response-seal": "seal", ...headers });
        sentRequest!.listener.onData(Buffer.from(body));
        sentRequest!.listener.onEnd();
        return bench;
    }

    const chunked = { "transfer-encoding": "chunked" };

    // Guards against an endpoint that crashes before the first event of an answer that ends with its connection.
    it("takes a stream without events for broken off if only the end of its connection ends it", () => {
        assert.deepEqual(answerOnce({}, "").answers, ["outcomeUnknown"]);
        assert.deepEqual(answerOnce(chunked, "").answers, ["200"]);
        assert.deepEqual(answerOnce({}, "id: 1\ndata: x\n\n").answers, ["200"]);
    });

    // Guards against an endpoint that answers other requests than its own: each request was sent to it first, and all had to wait for the
    // others' capacity afterwards.
    it("suspects an endpoint whose answer belongs to another request", () => {
        const { bench, relay } = start(["1", "2"]);
        const first = relay.attempts.getStages()![0]!.endpoint.id;
        bench.sentRequests[0]!.listener.onHead(200, { "request-id": "another", "response-seal": "seal" });
        assert.ok(bench.environment.health.isSuspect(first, bench.clock.getMonotonicTime()));
    });

    // Guards against a crash that the quarantine doesn't learn of, since the connection ends regularly as the process ends.
    it("suspects a crash if the connection that ends a stream is closed inside an event", () => {
        const { number } = events.endpointCrashSuspected;
        assert.ok(answerOnce({}, "id: 1\nda").log.numbers.includes(number));
        assert.ok(!answerOnce(chunked, "id: 1\nda").log.numbers.includes(number));
    });

    // Guards against engines that read the prompts of all ranks in order of arrival, and against a header without ranks.
    it("sends the urgency of the request where its service has several ranks", () => {
        const bench = RelayBench.create([createEndpoint("1", { layers })]);
        const task = bench.createTask(RequestKind.Stream);
        StreamRelay.create(bench.environment, task, model, () => undefined).start();
        StreamRelay.create(bench.environment, { ...task, ranks: [0, 1] }, model, () => undefined).start();
        const late = { ...task, ranks: [0, 1], isReturn: true };
        StreamRelay.create(bench.environment, late, model, () => undefined).start();
        const urgencies = bench.sentRequests.map(({ headers }) => headers[headers.indexOf("Request-Urgency") + 1]);
        assert.deepEqual(bench.sentRequests.map(({ headers }) => headers.includes("Request-Urgency")), [
            false,
            true,
            true,
        ]);
        assert.deepEqual(urgencies.slice(1), ["2", "3"]);
    });

    it("refuses immediately if the endpoints together do not hold the whole model", () => {
        const { bench } = start([]);
        assert.deepEqual(bench.answers, []);
        const other = RelayBench.create([createEndpoint("1", { layers: { start: 0, end: 40 } })]);
        const task = other.createTask(RequestKind.Stream);
        StreamRelay.create(other.environment, task, model, () => undefined).start();
        assert.deepEqual(other.answers, ["notRun"]);
    });

    // Guards against a refusal whose log line doesn't tell which bound refused which rank.
    it("logs the rank and the bound of a refusal", () => {
        const bench = RelayBench.create([createEndpoint("1", { layers: { start: 0, end: 40 } })]);
        StreamRelay.create(bench.environment, bench.createTask(RequestKind.Stream), model, () => undefined).start();
        const fields = bench.log.fields[bench.log.numbers.indexOf(1716)];
        assert.deepEqual([fields?.["rank"], fields?.["bound"]], [1, "layers"]);
    });
});
