import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };
const head = { "request-id": "request", "response-seal": "s" };
const runMilliseconds = 50;
const heardMilliseconds = 600;
const waitMilliseconds = 1_000;

/** Starts a stream that two endpoints break off that this node can't connect to then. */
async function breakOffTwice(): Promise<SuspectBench> {
    const endpoints = ["1", "2", "3"].map(id => createEndpoint(id, { layers }));
    const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 3 });
    const { bench, detector, relay } = stream;
    detector.remove(relay);
    stream.begin();
    await bench.clock.advance(runMilliseconds);
    stream.getLast().listener.onFailure(broken);
    stream.markSent();
    stream.getLast().listener.onHead(200, head);
    stream.sendEvent(2);
    await bench.clock.advance(runMilliseconds);
    stream.getLast().listener.onFailure(broken);
    return stream;
}

describe("A begun stream that is held back by crashes that may be refuted", () => {
    // Guards against cutting a stream because its node could not connect to endpoints that live.
    it("goes on once the endpoints are heard again", async () => {
        const { bench } = await breakOffTwice();
        const { clock, environment } = bench;
        assert.deepEqual(bench.answers, ["200"]);
        await clock.advance(heardMilliseconds);
        for (const id of ["1", "2"]) {
            environment.health.markAlive(id, clock.getMonotonicTime());
        }
        await clock.advance(waitMilliseconds);
        assert.equal(bench.sentRequests.length, 3);
    });

    it("ends if they aren't", async () => {
        const { bench } = await breakOffTwice();
        await bench.clock.advance(waitMilliseconds - runMilliseconds);
        assert.deepEqual(bench.answers, ["200"]);
        await bench.clock.advance(2 * runMilliseconds);
        assert.equal(bench.sentRequests.length, 2);
        assert.deepEqual(bench.answers, ["200", "cut"]);
    });
});
