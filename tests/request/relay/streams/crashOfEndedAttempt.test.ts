import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { events } from "../../../../src/process/logging/events.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const runMilliseconds = 50;
const pathTestMilliseconds = 100;

describe("StreamRelay", () => {
    // Guards against lost evidence of a crash, after which the request goes on to crash one endpoint more.
    it("records the crash of an endpoint whose attempt is given up while its path is tested", async () => {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers }));
        const stream = SuspectBench.create({ endpoints, isResumable: true });
        const { bench } = stream;
        bench.pathTestMilliseconds = pathTestMilliseconds;
        const first = stream.getLast();
        await bench.clock.advance(runMilliseconds);
        stream.suspectFirst();
        stream.markSent();
        first.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "reset" });
        stream.begin();
        await bench.clock.advance(pathTestMilliseconds);
        assert.equal(
            bench.log.numbers.filter(number => number === events.endpointCrashSuspected.number).length,
            1,
        );
    });
});
