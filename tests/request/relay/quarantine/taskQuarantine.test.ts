import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { events } from "../../../../src/process/logging/events.ts";
import { DocumentRelay } from "../../../../src/request/relay/documents/documentRelay.ts";
import { proofMilliseconds } from "../../../../src/request/relay/quarantine/proofMilliseconds.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

const layers = { start: 0, end: 80 };
const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
const model = { ...relayModel, kinds };
const runMilliseconds = 60;
const broken = { kind: UpstreamFailureKind.Broken, message: "other side closed" };
const headers = { "request-id": "request", "response-seal": "seal" };

function createBench() {
    return RelayBench.create(["1", "2", "3", "4"].map(id => createEndpoint(id, { layers })));
}

function createTask(bench: RelayBench, kind: RequestKind) {
    const task = bench.createTask(kind, true);
    return { ...task, route: { ...task.route, maximumAttempts: 4 } };
}

function startStream(bench: RelayBench): StreamRelay {
    const relay = StreamRelay.create(bench.environment, createTask(bench, RequestKind.Stream), model, () => undefined);
    relay.start();
    return relay;
}

function start(bench: RelayBench, kind: RequestKind): void {
    if (kind === RequestKind.Stream) {
        startStream(bench);
    }
    else {
        DocumentRelay.start(bench.environment, createTask(bench, kind), () => undefined);
    }
}

/** Lets the latest attempt run for some time, then crashes its endpoint. */
async function crashEndpoint(bench: RelayBench, milliseconds = runMilliseconds): Promise<void> {
    const { listener } = bench.sentRequests.at(-1)!;
    await bench.clock.advance(milliseconds);
    listener.onFailure(broken);
}

/** Gets the id of the endpoint whose connection broke last without a proof of a crash. */
function getBrokenId({ log }: RelayBench): string {
    return String(log.fields[log.numbers.lastIndexOf(events.connectionBroke.number)]?.["endpoint"]);
}

function sendEvent(bench: RelayBench, id: number): void {
    bench.sentRequests.at(-1)!.listener.onData(Buffer.from(`id: ${id}\ndata: x\n\n`));
}

describe("A request whose endpoints crash", () => {
    it("is sent to a second endpoint but no further, and is not sent at all when its caller retries", async () => {
        const bench = createBench();
        startStream(bench);
        await crashEndpoint(bench);
        assert.equal(bench.sentRequests.length, 2);
        await crashEndpoint(bench);
        assert.equal(bench.sentRequests.length, 2);
        startStream(bench);
        assert.equal(bench.sentRequests.length, 2);
        assert.deepEqual(bench.answers, ["outcomeUnknown", "heldBack"]);
    });

    it("continues on other chains if a chain has run it for some time before", async () => {
        const bench = createBench();
        startStream(bench);
        bench.sentRequests[0]!.listener.onHead(200, headers);
        sendEvent(bench, 1);
        await bench.clock.advance(300);
        sendEvent(bench, 2);
        for (const count of [2, 3, 4]) {
            await crashEndpoint(bench);
            assert.equal(bench.sentRequests.length, count);
        }
    });

    // Guards against ending a harmless request because its connections broke at endpoints that went on, or because its node was cut off.
    it("is not suspected if the endpoints are not proven to be down and have not restarted", async () => {
        const pathStates = [PathState.Open, PathState.Unknown];
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            for (const pathState of pathStates) {
                const bench = createBench();
                bench.pathState = pathState;
                start(bench, kind);
                for (const count of [2, 3, 4]) {
                    await crashEndpoint(bench);
                    assert.equal(bench.sentRequests.length, count, kind);
                }
                assert.equal(bench.log.numbers.includes(events.endpointCrashSuspected.number), false);
            }
        }
    });

    it("is held back if endpoints that can be reached turn out to have restarted", async () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const bench = createBench();
            bench.pathState = PathState.Open;
            start(bench, kind);
            for (const count of [1, 2]) {
                await crashEndpoint(bench);
                bench.environment.quarantine.noteRestart(getBrokenId(bench), bench.clock.getMonotonicTime() + 100);
                assert.equal(bench.environment.quarantine.getCrashes(bench.clock.getMonotonicTime()).length, count);
            }
            start(bench, kind);
            assert.equal(bench.answers.at(-1), "heldBack", kind);
        }
    });

    // Guards against crashes that never count because the endpoint still accepted a connection as it crashed, or the node was cut off then.
    it("is held back if endpoints that were not proven to be down are so soon after", async () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const bench = createBench();
            const { clock, environment: { quarantine } } = bench;
            bench.pathState = PathState.Open;
            start(bench, kind);
            for (const count of [1, 2]) {
                await crashEndpoint(bench);
                quarantine.noteDown(getBrokenId(bench), clock.getMonotonicTime() + 100);
                assert.equal(quarantine.getCrashes(clock.getMonotonicTime()).length, count);
            }
            start(bench, kind);
            assert.equal(bench.answers.at(-1), "heldBack", kind);
        }
    });

    // Guards against a node that keeps requests that have ended in memory until the next connection breaks.
    it("is forgotten with its broken connection once that can't be proven any more", async () => {
        const bench = createBench();
        const { clock, environment: { quarantine } } = bench;
        bench.pathState = PathState.Open;
        startStream(bench);
        await crashEndpoint(bench);
        const brokenAt = clock.getMonotonicTime();
        await clock.advance(proofMilliseconds);
        quarantine.noteRestart(getBrokenId(bench), brokenAt);
        assert.equal(quarantine.getCrashes(clock.getMonotonicTime()).length, 0);
    });

    // Guards against requests that go on to all endpoints, because these restart before the test of their paths has ended.
    it("is suspected if the endpoint is known to have restarted before its path was found open", async () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const bench = createBench();
            const { clock, environment: { quarantine } } = bench;
            bench.pathState = PathState.Open;
            bench.pathTestMilliseconds = runMilliseconds;
            start(bench, kind);
            await crashEndpoint(bench);
            for (const endpointId of ["1", "2", "3", "4"]) {
                quarantine.noteRestart(endpointId, clock.getMonotonicTime());
            }
            await clock.advance(runMilliseconds);
            assert.equal(quarantine.getCrashes(clock.getMonotonicTime()).length, 1, kind);
        }
    });

    // Guards against cutting a stream, and holding it back at all nodes, because the endpoints that it was on ended as planned.
    it("is not suspected if the endpoints had announced that they are leaving", async () => {
        const bench = createBench();
        const { clock, environment: { instructions, quarantine, retryBudget } } = bench;
        const task = { ...createTask(bench, RequestKind.Stream), dueAt: 20_000 };
        const relay = StreamRelay.create(bench.environment, task, model, () => undefined);
        retryBudget.observeRequest();
        relay.start();
        for (const count of [1, 2, 3]) {
            assert.equal(bench.sentRequests.length, count);
            bench.sentRequests.at(-1)!.listener.onHead(200, headers);
            sendEvent(bench, 2 * count - 1);
            await clock.advance(300);
            sendEvent(bench, 2 * count);
            const { id: endpointId } = relay.attempts.getStages()![0]!.endpoint;
            const leaving = { isLeaving: true, pauseMilliseconds: undefined };
            instructions.noteAnswer({ endpointId, instructions: leaving, answerTo: "" });
            await crashEndpoint(bench, 300);
            await clock.advance(1_000);
        }
        assert.equal(quarantine.getHold("fingerprint", clock.getMonotonicTime()), undefined);
        assert.equal(bench.sentRequests.length, 4);
    });

    // Guards against crashes that never count because the connection went through a peer, or a peer found the endpoint back first.
    it("is suspected if only the path to the endpoint seemed lost, and the endpoint turns out to have restarted", async () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const bench = createBench();
            const { clock, environment: { quarantine } } = bench;
            bench.pathState = PathState.Lost;
            start(bench, kind);
            await crashEndpoint(bench);
            assert.equal(quarantine.getCrashes(clock.getMonotonicTime()).length, 0, kind);
            for (const endpointId of ["1", "2", "3", "4"]) {
                quarantine.noteRestart(endpointId, clock.getMonotonicTime());
            }
            assert.equal(quarantine.getCrashes(clock.getMonotonicTime()).length, 1, kind);
        }
    });

    it("is suspected if the endpoint ends its answer inside an event and can't be reached", async () => {
        const bench = createBench();
        startStream(bench);
        const { listener } = bench.sentRequests[0]!;
        listener.onHead(200, headers);
        await bench.clock.advance(runMilliseconds);
        listener.onData(Buffer.from("id: 1\nda"));
        listener.onEnd();
        assert.equal(bench.environment.quarantine.getCrashes(bench.clock.getMonotonicTime()).length, 1);
    });

    it("is not suspected if the endpoint had crashed before it arrived", async () => {
        const bench = createBench();
        startStream(bench);
        for (const count of [2, 3, 4]) {
            await crashEndpoint(bench, 1);
            assert.equal(bench.sentRequests.length, count);
        }
    });

    // Guards against judging by the time after the test of the path, which suspected each request that a crashed endpoint cut off.
    it("is not suspected then if the test of the path takes longer than a run that is suspected", async () => {
        for (const kind of [RequestKind.Stream, RequestKind.Idempotent]) {
            const bench = createBench();
            bench.pathTestMilliseconds = runMilliseconds;
            start(bench, kind);
            for (const count of [2, 3, 4]) {
                await crashEndpoint(bench, 1);
                await bench.clock.advance(runMilliseconds);
                assert.equal(bench.sentRequests.length, count, kind);
            }
        }
    });

    it("is not suspected if it was written to a connection that took long to open, and broke at once", async () => {
        const bench = createBench();
        startStream(bench);
        for (const count of [2, 3, 4]) {
            bench.sentRequests.at(-1)!.sentAt = bench.clock.getMonotonicTime() + runMilliseconds - 1;
            await crashEndpoint(bench);
            assert.equal(bench.sentRequests.length, count);
        }
    });

    // Guards against a request that crashes endpoints as it arrives, and was sent to one after the other for as long as it came: a crash
    // that follows at once was never counted.
    it("is held back if endpoints crash as soon as it is sent to them, at different times", async () => {
        const gapMilliseconds = 600;
        const bench = createBench();
        startStream(bench);
        await crashEndpoint(bench, 1);
        bench.sentRequests.at(-1)!.sentAt = bench.clock.getMonotonicTime() + gapMilliseconds;
        await crashEndpoint(bench, gapMilliseconds + 1);
        startStream(bench);
        assert.equal(bench.sentRequests.length, 2);
        assert.deepEqual(bench.answers, ["outcomeUnknown", "heldBack"]);
    });

    it("is held back at the fourth of them within a moment, also for document services", async () => {
        const bench = RelayBench.create(["1", "2", "3", "4", "5"].map(id => createEndpoint(id, { layers })));
        start(bench, RequestKind.Idempotent);
        for (const count of [1, 2, 3, 4]) {
            assert.equal(bench.sentRequests.length, count);
            await crashEndpoint(bench, 1);
        }
        start(bench, RequestKind.Idempotent);
        assert.equal(bench.sentRequests.length, 4);
        assert.deepEqual(bench.answers, ["outcomeUnknown", "heldBack"]);
    });

    it("is not sent if other endpoints crashed while it waited for free memory", async () => {
        const bench = createBench();
        for (const id of ["1", "2", "3", "4"]) {
            bench.environment.loads.markFull(id, 0);
        }
        startStream(bench);
        for (const endpointId of ["5", "6"]) {
            bench.environment.quarantine.addPeerCrash({ fingerprint: "fingerprint", endpointId, at: 0 }, 0);
        }
        assert.deepEqual(bench.answers, []);
        await bench.clock.advance(400);
        assert.equal(bench.sentRequests.length, 0);
        assert.deepEqual(bench.answers, ["heldBack"]);
    });

    it("is not moved to another chain if a later stage crashed", async () => {
        const bench = createBench();
        const relay = startStream(bench);
        await bench.clock.advance(runMilliseconds);
        relay.moves.captureRuns()(new Set([relay.attempts.getStages()![0]!.endpoint.id, "no part of the chain"]));
        bench.environment.quarantine.addPeerCrash({ fingerprint: "fingerprint", endpointId: "5", at: 0 }, 0);
        assert.equal(relay.moves.chooseReroute(new Set()), undefined);
    });

    it("is held back in the same way for document services", async () => {
        const bench = createBench();
        const start = () =>
            DocumentRelay.start(bench.environment, createTask(bench, RequestKind.Idempotent), () => undefined);
        start();
        await crashEndpoint(bench, 20);
        await crashEndpoint(bench, 20);
        assert.equal(bench.sentRequests.length, 2);
        start();
        assert.equal(bench.sentRequests.length, 2);
        assert.deepEqual(bench.answers, ["outcomeUnknown", "heldBack"]);
    });

    it("is not suspected if the endpoint answered with a failure of its own", async () => {
        const bench = createBench();
        const start = () =>
            DocumentRelay.start(bench.environment, createTask(bench, RequestKind.Idempotent), () => undefined);
        start();
        bench.sentRequests[0]!.listener.onHead(500, headers);
        bench.sentRequests[0]!.listener.onEnd();
        await crashEndpoint(bench, 20);
        await crashEndpoint(bench, 20);
        assert.equal(bench.sentRequests.length, 4);
    });
});
