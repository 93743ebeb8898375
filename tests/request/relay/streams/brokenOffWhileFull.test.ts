import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { maximumRefusals } from "../../../../src/request/relay/answers/maximumRefusals.ts";
import { OpenRequestState } from "../../../../src/request/relay/stop/openRequestState.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const ids = ["1", "2", "3", "4", "5", "6", "7", "8"];
const endpoints = ids.map(id => createEndpoint(id, { layers: { start: 0, end: 80 } }));
/** So many waiting requests that the queue refuses the next one. */
const waitingCount = 4;
const runMilliseconds = 50;
/** Callers without an event leave after two seconds. */
const stayMilliseconds = 2_000;
/** Endpoints count as full for longer than this after a refusal. */
const fullMilliseconds = 100;
const broken = { kind: UpstreamFailureKind.Broken, message: "read ECONNRESET" };

function markFull({ bench: { environment, clock } }: SuspectBench): void {
    for (const id of ids) {
        environment.loads.markFull(id, clock.getMonotonicTime());
    }
}

/** Breaks off a stream without an answer while all endpoints are full and others wait for them. */
async function breakOffWhileFull(): Promise<SuspectBench> {
    const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: ids.length });
    const { bench, detector, relay } = stream;
    detector.remove(relay);
    bench.pathState = PathState.Open;
    await bench.clock.advance(runMilliseconds);
    markFull(stream);
    for (let count = 0; count < waitingCount; count++) {
        const task = { ...bench.createTask(RequestKind.Stream), dueAt: 10 * stayMilliseconds };
        StreamRelay.create(bench.environment, task, relayModel, () => undefined).start();
    }
    stream.getLast().listener.onFailure(broken);
    return stream;
}

describe("A stream without an answer whose connection broke while all endpoints are full", () => {
    // Guards against an unknown outcome for a request that may run again and has most of its time left.
    it("goes on once there is room", async () => {
        const { bench, relay } = await breakOffWhileFull();
        assert.deepEqual(bench.answers, []);
        assert.equal(bench.sentRequests.length, 1);
        await bench.clock.advance(stayMilliseconds / 2);
        assert.equal(relay.attempts.list().length, 1);
        assert.deepEqual(bench.answers.filter(answer => answer === "outcomeUnknown"), []);
    });

    it("ends with an unknown outcome before its caller leaves if there is none", async () => {
        const stream = await breakOffWhileFull();
        const { bench, relay } = stream;
        while (bench.clock.getMonotonicTime() < stayMilliseconds) {
            markFull(stream);
            await bench.clock.advance(fullMilliseconds);
        }
        assert.equal(relay.attempts.list().length, 0);
        assert.equal(bench.answers.filter(answer => answer === "outcomeUnknown").length, 1);
    });

    // Guards against a caller that gets nothing because its request waits outside of the queue when the node ends.
    it("ends with an unknown outcome when its node ends", async () => {
        const { bench, relay } = await breakOffWhileFull();
        assert.deepEqual(bench.answers, []);
        assert.equal(bench.environment.queue.refuseAll(), waitingCount);
        assert.equal(relay.getState(), OpenRequestState.Waiting);
        relay.endAtStop();
        assert.equal(bench.answers.filter(answer => answer === "outcomeUnknown").length, 1);
        await bench.clock.advance(stayMilliseconds);
        assert.equal(bench.sentRequests.length, 1);
    });

    // Guards against one more endpoint for a request that turned out to crash them while it waited in the queue.
    it("is sent to no other endpoint once it is held back", async () => {
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: ids.length });
        const { bench: { environment, clock, ...bench }, detector, relay: { task: { fingerprint } } } = stream;
        detector.remove(stream.relay);
        stream.bench.pathState = PathState.Open;
        await clock.advance(runMilliseconds);
        const now = clock.getMonotonicTime();
        environment.loads.setPeerLoads(
            "p",
            endpoints.map(({ id, slots }) => ({
                endpointId: id,
                requests: slots,
                tokenLayers: 0,
            })),
            0,
            now,
        );
        stream.getLast().listener.onFailure(broken);
        for (const endpointId of ["6", "7", "8"]) {
            environment.quarantine.addPeerCrash({ fingerprint, endpointId, at: now }, now);
        }
        assert.equal(environment.queue.refuseAll(), 1);
        assert.deepEqual(bench.answers, ["outcomeUnknown"]);
        assert.equal(bench.sentRequests.length, 1);
    });

    // Guards against an unknown outcome after a few refusals, which run nothing.
    it("goes on after as many refusals as end a request that has not run", async () => {
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: ids.length });
        const { bench, detector, relay } = stream;
        detector.remove(relay);
        bench.environment.retryBudget.receive(ids.length, 0);
        bench.pathState = PathState.Open;
        await bench.clock.advance(runMilliseconds);
        stream.getLast().listener.onFailure(broken);
        for (let count = 0; count <= maximumRefusals; count++) {
            stream.markSent();
            stream.getLast().listener.onHead(503, { "request-id": "request", "not-executed": "1" });
            stream.getLast().listener.onEnd();
        }
        assert.deepEqual(bench.answers, []);
        assert.equal(relay.attempts.list().length, 0);
        await bench.clock.advance(stayMilliseconds / 4);
        assert.equal(relay.attempts.list().length, 1);
        assert.equal(bench.sentRequests.length, maximumRefusals + 3);
    });
});
