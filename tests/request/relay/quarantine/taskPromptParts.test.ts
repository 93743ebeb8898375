import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { DocumentRelay } from "../../../../src/request/relay/documents/documentRelay.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

const layers = { start: 0, end: 80 };
const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
const model = { ...relayModel, kinds };
const broken = { kind: UpstreamFailureKind.Broken, message: "other side closed" };
const headers = { "request-id": "request", "response-seal": "seal" };
const harmful = "pbad";
const runMilliseconds = 60;

function createBench() {
    const bench = RelayBench.create(["1", "2", "3", "4"].map(id => createEndpoint(id, { layers })));
    let count = 0;
    const createTask = (kind: RequestKind, partKeys: readonly string[]) => {
        count += 1;
        const task = bench.createTask(kind, true);
        return { ...task, fingerprint: `f${count}`, partKeys, route: { ...task.route, maximumAttempts: 4 } };
    };
    const startStream = (partKeys: readonly string[] = [harmful]) => {
        const task = createTask(RequestKind.Stream, partKeys);
        const relay = StreamRelay.create(bench.environment, task, model, () => undefined);
        relay.start();
        return relay;
    };
    const startDocument = (partKeys: readonly string[]) =>
        DocumentRelay.start(bench.environment, createTask(RequestKind.Idempotent, partKeys), () => undefined);
    const crashEndpoint = async () => {
        const { listener } = bench.sentRequests.at(-1)!;
        await bench.clock.advance(runMilliseconds);
        listener.onFailure(broken);
    };
    const suspect = (...endpointIds: string[]) => {
        for (const endpointId of endpointIds) {
            bench.environment.quarantine.addPeerCrash({ fingerprint: harmful, endpointId, at: 0 }, 0);
        }
    };
    const sendEvents = async () => {
        const { listener } = bench.sentRequests.at(-1)!;
        listener.onHead(200, headers);
        listener.onData(Buffer.from("id: 1\ndata: x\n\n"));
        await bench.clock.advance(300);
        listener.onData(Buffer.from("id: 2\ndata: x\n\n"));
    };
    const countSent = () => bench.sentRequests.length;
    return { bench, startStream, startDocument, crashEndpoint, suspect, sendEvents, countSent };
}

describe("Requests with a part of the prompt that endpoints crashed under", () => {
    it("are refused, but for one canary, which is not sent to another endpoint after a crash", async () => {
        const { bench, startStream, crashEndpoint, suspect, countSent } = createBench();
        suspect("8", "9");
        startStream();
        startStream();
        assert.equal(countSent(), 1);
        await crashEndpoint();
        startStream();
        startStream([harmful, "pother"]);
        assert.equal(countSent(), 1);
        assert.deepEqual(bench.answers, ["heldBack", "outcomeUnknown", "heldBack", "heldBack"]);
        assert.equal(bench.environment.quarantine.getPartHold([harmful], runMilliseconds)?.isCertain, true);
    });

    it("are sent again once a canary has its answer", async () => {
        const { startStream, suspect, sendEvents, countSent } = createBench();
        suspect("8", "9");
        startStream();
        await sendEvents();
        startStream();
        startStream();
        assert.equal(countSent(), 3);
    });

    it("are recognized although no two are alike", async () => {
        const { startStream, startDocument, crashEndpoint, countSent } = createBench();
        startStream(["p1", harmful]);
        await crashEndpoint();
        await crashEndpoint();
        assert.equal(countSent(), 2);
        startDocument([harmful, "p2"]);
        assert.equal(countSent(), 3, "This one is the canary.");
        await crashEndpoint();
        startDocument([harmful, "p3"]);
        startStream(["p4", harmful]);
        assert.equal(countSent(), 3);
        startStream(["p4"]);
        assert.equal(countSent(), 4);
    });

    it("are continued if an endpoint has answered them before, as long as it isn't sure that the part is the cause", async () => {
        const { startStream, crashEndpoint, suspect, sendEvents, countSent } = createBench();
        startStream();
        await sendEvents();
        for (const endpointId of ["7", "8", "9"]) {
            suspect(endpointId);
        }
        await crashEndpoint();
        assert.equal(countSent(), 2);
    });

    // Guards against convicting a harmless part by a crash from before its request was a canary.
    it("don't convict a part by the crash of an endpoint that did not run a canary", async () => {
        const { bench, startStream, crashEndpoint, suspect, countSent } = createBench();
        const { quarantine } = bench.environment;
        bench.pathState = PathState.Open;
        const relay = startStream();
        const brokenId = relay.attempts.getStages()![0]!.endpoint.id;
        suspect("8", "9");
        await crashEndpoint();
        assert.equal(countSent(), 2, "It is a canary now.");
        quarantine.noteRestart(brokenId, runMilliseconds);
        assert.equal(quarantine.getPartHold([harmful], runMilliseconds)?.isCertain, false);
        const canaryId = relay.attempts.getStages()![0]!.endpoint.id;
        await crashEndpoint();
        quarantine.noteRestart(canaryId, 2 * runMilliseconds);
        assert.equal(quarantine.getPartHold([harmful], 2 * runMilliseconds)?.isCertain, true);
    });

    it("don't make a part suspect if the endpoint had answered for some time", async () => {
        const { bench, startStream, crashEndpoint, countSent } = createBench();
        for (let count = 1; count <= 3; count++) {
            startStream();
            const { listener } = bench.sentRequests.at(-1)!;
            listener.onHead(200, headers);
            listener.onData(Buffer.from("id: 1\ndata: x\n\n"));
            await bench.clock.advance(2 * runMilliseconds);
            await crashEndpoint();
        }
        assert.equal(bench.environment.quarantine.getPartHold([harmful], 1_000), undefined);
        assert.ok(countSent() > 3);
    });

    it("are not sent if the part was held back while they waited for free memory", async () => {
        const { bench, startStream, suspect, countSent } = createBench();
        for (const id of ["1", "2", "3", "4"]) {
            bench.environment.loads.markFull(id, 0);
        }
        startStream();
        startStream();
        suspect("8", "9");
        await bench.clock.advance(400);
        assert.equal(countSent(), 1, "One of them is the canary.");
        assert.deepEqual(bench.answers, ["heldBack"]);
    });

    it("make a part suspect that was answered at first and crashes the endpoints over which the stream continues", async () => {
        const { bench, startStream, crashEndpoint, sendEvents, countSent } = createBench();
        startStream();
        await sendEvents();
        await crashEndpoint();
        await crashEndpoint();
        await crashEndpoint();
        assert.equal(countSent(), 4);
        const now = bench.clock.getMonotonicTime() + 1_000;
        assert.ok(bench.environment.quarantine.getPartHold([harmful], now) !== undefined);
    });

    it("clear a part of a crash again where the stream continues, also if it was answered before the crash", async () => {
        const { bench, startStream, crashEndpoint, sendEvents } = createBench();
        const isSuspect = () =>
            bench.environment.quarantine.getCrashes(bench.clock.getMonotonicTime())
                .some(({ fingerprint }) => fingerprint === harmful);
        startStream();
        await sendEvents();
        await crashEndpoint();
        await crashEndpoint();
        assert.ok(isSuspect());
        await sendEvents();
        assert.ok(!isSuspect());
    });

    it("may leave a silent endpoint like any other stream once they were answered as a canary", async () => {
        const { startStream, suspect, sendEvents, countSent } = createBench();
        suspect("8", "9");
        const relay = startStream();
        await sendEvents();
        relay.moves.hedge([relay.attempts.getStages()![0]!.endpoint.id], "the first stage is silent.");
        assert.equal(countSent(), 2);
    });

    // Guards against requests that are refused because many connections to sound endpoints were reset at once.
    it("aren't held back after connections broke to endpoints that accept new ones", async () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const { bench, startStream, startDocument, crashEndpoint } = createBench();
            bench.pathState = PathState.Open;
            const start = kind === RequestKind.Stream ? startStream : startDocument;
            start([harmful]);
            await crashEndpoint();
            await crashEndpoint();
            const now = bench.clock.getMonotonicTime() + 1_000;
            assert.equal(bench.environment.quarantine.getPartHold([harmful], now), undefined);
        }
    });
});
