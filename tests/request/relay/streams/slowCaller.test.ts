// Guards against a node that holds all of a stream which its caller takes more slowly than its endpoint sends it: answers without end to
// slow callers filled its memory, it was killed, and the answers of sound endpoints were lost with it.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };

describe("A stream whose caller is slow", () => {
    let reports = 0;

    function begin(): SuspectBench {
        const endpoints = ["1", "2", "3"].map(id => createEndpoint(id, { layers }));
        reports = 0;
        const fetchReport = () => {
            reports += 1;
            return Promise.resolve(undefined);
        };
        const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: 4, fetchReport });
        stream.begin();
        return stream;
    }

    function takeNothing({ bench }: SuspectBench): void {
        bench.isCallerSlow = true;
    }

    function takeAll({ bench }: SuspectBench): void {
        bench.isCallerSlow = false;
        bench.drain();
    }

    it("is read from its endpoint only while the caller takes it", () => {
        const stream = begin();
        assert.equal(stream.getLast().isPaused, false);
        takeNothing(stream);
        stream.sendEvent(2);
        assert.equal(stream.getLast().isPaused, true);
        takeAll(stream);
        assert.equal(stream.getLast().isPaused, false);
    });

    it("is not taken for silent while it is not read", async () => {
        const stream = begin();
        takeNothing(stream);
        stream.sendEvent(2);
        await stream.bench.clock.advance(5_000);
        assert.deepEqual([reports, stream.bench.sentRequests.length], [0, 1]);
        takeAll(stream);
        await stream.bench.clock.advance(100);
        assert.equal(reports, 0);
        await stream.bench.clock.advance(2_000);
        assert.notEqual(reports, 0);
    });

    it("is not read from the next endpoint either if it moves", async () => {
        const stream = begin();
        takeNothing(stream);
        stream.sendEvent(2);
        stream.relay.moves.abandonChain([stream.getFirstId()], "the first stage has restarted.");
        await stream.bench.clock.advance(100);
        assert.equal(stream.bench.sentRequests.length, 2);
        stream.begin();
        stream.sendEvent(3);
        assert.equal(stream.getLast().isPaused, true);
        takeAll(stream);
        assert.equal(stream.getLast().isPaused, false);
    });

    it("ends at its deadline, and as soon as its caller leaves", async () => {
        const overdue = begin();
        const left = begin();
        for (const stream of [overdue, left]) {
            takeNothing(stream);
            stream.sendEvent(2);
        }
        left.bench.leave();
        assert.ok(left.getLast().isAborted);
        await overdue.bench.clock.advance(20_000);
        assert.ok(overdue.getLast().isAborted);
        assert.equal(overdue.bench.answers.at(-1), "cut");
    });
});
