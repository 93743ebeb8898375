import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { events } from "../../../../src/process/logging/events.ts";
import { DocumentRelay } from "../../../../src/request/relay/documents/documentRelay.ts";
import { OpenRequests } from "../../../../src/request/relay/stop/openRequests.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
const model = { ...relayModel, kinds };
const layers = { start: 0, end: 80 };

/** Starts a request of a kind whose answers take half a second. */
function start(kind: RequestKind, ids: readonly string[]) {
    const bench = RelayBench.create(ids.map(id => createEndpoint(id, { layers })));
    const base = bench.createTask(kind, true);
    const service = { ...base.service, engine: kind === RequestKind.Stream ? model : undefined };
    const task = { ...base, service, route: { ...base.route, maximumAttempts: 2 } };
    bench.environment.retryBudget.observeRequest();
    bench.environment.answerTimes.record("r", 500, kind === RequestKind.Stream ? 200 : 1);
    const open = OpenRequests.create();
    const relay = kind === RequestKind.Stream
        ? StreamRelay.create(bench.environment, task, model, () => open.remove(relay))
        : DocumentRelay.create(bench.environment, task, () => open.remove(relay));
    open.add(relay);
    relay.start();
    const send = () => {
        bench.sentRequests[0]!.sentAt = 0;
        return bench.sentRequests[0]!.listener;
    };
    return { bench, open, send };
}

/** Has the endpoint break off a request, and none accept it again. */
async function breakOff({ bench, send }: ReturnType<typeof start>): Promise<void> {
    send().onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
    for (const next of bench.sentRequests.slice(1)) {
        next.listener.onHead(503, { "request-id": "request", "not-executed": "1" });
        next.listener.onEnd();
    }
    await bench.clock.advance(1);
}

describe("OpenRequests", () => {
    // A request waited in the queue of a stopping node until its end, though it could not have been answered any more.
    it("refuses a stream that waits as soon as its answer would need more time than is left", () => {
        const { bench, open } = start(RequestKind.Stream, []);
        open.endHopeless(2_000);
        assert.deepEqual(bench.answers, []);
        open.endHopeless(400);
        assert.deepEqual(bench.answers, ["notRun"]);
        assert.deepEqual(open.endAll(), { running: 0, resuming: 0, waiting: 0 });
    });

    // A request that an endpoint may have run must not be refused as not run.
    it("answers a document request that may have run and waits with its true outcome", async () => {
        const started = start(RequestKind.Idempotent, ["1", "2"]);
        await breakOff(started);
        started.open.endHopeless(2_000);
        assert.deepEqual(started.bench.answers, []);
        started.open.endHopeless(400);
        assert.deepEqual(started.bench.answers, ["outcomeUnknown"]);
    });

    it("leaves a request that an endpoint runs until the end, and says then that it may have run", () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const { bench, open, send } = start(kind, ["1"]);
            send();
            open.endHopeless(0);
            assert.deepEqual(bench.answers, []);
            assert.equal(open.endAll().running, 1);
            assert.deepEqual(bench.answers, ["outcomeUnknown"]);
        }
    });

    // A begun stream without a chain may still get one, and is at work then.
    it("leaves a begun stream that waits for a chain until the end, and cuts it then", async () => {
        const started = start(RequestKind.Stream, ["1", "2"]);
        const { bench, open, send } = started;
        send().onHead(200, { "request-id": "request", "response-seal": "s" });
        send().onData(Buffer.from("id: 1\ndata: x\n\n"));
        await breakOff(started);
        open.endHopeless(0);
        assert.deepEqual(bench.answers, ["200"]);
        assert.deepEqual(open.endAll(), { running: 0, resuming: 1, waiting: 0 });
        assert.deepEqual(bench.answers, ["200", "cut"]);
        assert.equal(bench.log.fields[bench.log.numbers.indexOf(events.relayEnded.number)]!["outcome"], "cutAtStop");
    });
});
