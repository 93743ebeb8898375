import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../../src/process/logging/events.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const { number } = events.callerLeftUnserved;
const stayMilliseconds = 2_000;

// Guards against callers that leave without an event and without a line that tells what their request waited for.
describe("StreamRelay", () => {
    function start(isResumable: boolean): SuspectBench {
        const endpoints = ["1", "2"].map(id => createEndpoint(id, { layers: { start: 0, end: 80 } }));
        return SuspectBench.create({ endpoints, isResumable, fetchReport: () => new Promise(() => undefined) });
    }

    it("tells where a stream stood whose caller left before its first event, and why it was not sent elsewhere", async () => {
        const stream = start(false);
        const { bench } = stream;
        bench.environment.health.markAlive(stream.getFirstId(), 500);
        stream.suspectFirst();
        await bench.clock.advance(stayMilliseconds);
        bench.leave();
        const fields = bench.log.fields[bench.log.numbers.indexOf(number)] as Record<string, unknown>;
        assert.deepEqual(
            { ...fields, retriesLeft: 0 },
            {
                request: "request",
                endpoint: stream.bench.sentRequests[0]!.address.split(":")[1],
                heldMilliseconds: stayMilliseconds,
                unheardMilliseconds: 1_500,
                isQueuedAtLink: false,
                attempt: 1,
                refusals: 0,
                retriesLeft: 0,
                obstacle: "Its route allows no second run.",
            },
        );
    });

    it("writes no such line for a caller that has an event", () => {
        const stream = start(true);
        stream.begin();
        stream.bench.leave();
        assert.ok(!stream.bench.log.numbers.includes(number));
    });
});
