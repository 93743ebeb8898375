import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const reportTimeoutMilliseconds = 350;
const silenceMilliseconds = 2_200;

describe("StreamRelay", () => {
    // Guards against an endpoint that gets no new requests for seconds although its streams make progress again.
    it("ends the suspicion of an endpoint whose stream continues after a silence", async () => {
        const stream: SuspectBench = SuspectBench.create({
            endpoints: [createEndpoint("1", { layers })],
            isResumable: false,
            fetchReport: () =>
                new Promise(resolve => {
                    stream.bench.clock.setTimer(reportTimeoutMilliseconds, () => resolve(undefined));
                }),
        });
        const { clock, environment: { health } } = stream.bench;
        stream.begin();
        await clock.advance(silenceMilliseconds);
        assert.equal(health.isSuspect("1", clock.getMonotonicTime()), true);
        stream.sendEvent(2);
        assert.equal(health.isSuspect("1", clock.getMonotonicTime()), false);
    });
});
