import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const callerStayMilliseconds = 2_000;
const report = { stalled: [] } as never;

// Callers left after 2 s without an event although other first stages answered within 0.1 s: their only first stage read the prompts of
// others and answered checks, which excused its silence. Guards against a request that waits there until its caller leaves.
describe("StreamRelay", () => {
    /** Starts a stream, and others of the node that begin after some time each. */
    function start({ otherDelays, isResumable = true }: { otherDelays: readonly number[]; isResumable?: boolean; }) {
        const endpoints = ["1", "2", "3", "4"].map(id => createEndpoint(id, { layers: { start: 0, end: 80 } }));
        const stream = SuspectBench.create({ endpoints, isResumable, fetchReport: () => Promise.resolve(report) });
        const { bench } = stream;
        const first = bench.sentRequests[0]!;
        for (const delay of otherDelays) {
            stream.startAnother(delay);
        }
        return { stream, bench, first, sentCount: bench.sentRequests.length };
    }

    it("sends a resumable stream over another chain well before its caller leaves, and ends the first run when that one begins", async () => {
        const { stream, bench, first, sentCount } = start({ otherDelays: [80, 90] });
        await bench.clock.advance(callerStayMilliseconds / 3);
        assert.equal(bench.sentRequests.length, sentCount + 1);
        assert.notEqual(stream.getLast().address, first.address);
        assert.ok(!first.isAborted);
        stream.markSent();
        stream.begin();
        assert.ok(first.isAborted);
        assert.ok(!stream.getLast().isAborted);
    });

    it("adds no load while first events are late at the other first stages too", async () => {
        const { bench, sentCount } = start({ otherDelays: [1_900, 1_900] });
        await bench.clock.advance(callerStayMilliseconds - 200);
        assert.equal(bench.sentRequests.length, sentCount);
    });

    it("leaves retries to streams that have begun, and to those whose callers may leave soon", async () => {
        const { bench, sentCount } = start({ otherDelays: [80, 90] });
        const { retryBudget, streamRetries, clock } = bench.environment;
        streamRetries.noteBegun({});
        retryBudget.giveAway(100, 1, clock.getMonotonicTime());
        await bench.clock.advance(callerStayMilliseconds / 3);
        assert.equal(bench.sentRequests.length, sentCount);
        await bench.clock.advance(callerStayMilliseconds / 3);
        assert.equal(bench.sentRequests.length, sentCount + 1);
        assert.ok(retryBudget.getBalance(clock.getMonotonicTime()) >= 1);
    });

    it("leaves a stream in its place that may not run twice", async () => {
        const { bench, sentCount } = start({ otherDelays: [80, 90], isResumable: false });
        await bench.clock.advance(callerStayMilliseconds - 200);
        assert.equal(bench.sentRequests.length, sentCount);
    });

    // Guards against the end of the process, with all requests, for an error of one of them.
    it("ends alone if it can't be sent over the other chain because of an unexpected error", async () => {
        const { stream, bench, first } = start({ otherDelays: [80, 90] });
        const createRequest = () => {
            throw new Error("It can't be encoded.");
        };
        Object.assign(bench.environment, { protocol: { ...bench.environment.protocol, createRequest } });
        await bench.clock.advance(callerStayMilliseconds / 3);
        assert.ok(first.isAborted);
        assert.equal(stream.relay.attempts.list().length, 0);
        assert.equal(bench.answers.filter(answer => answer === "outcomeUnknown").length, 1);
    });
});
