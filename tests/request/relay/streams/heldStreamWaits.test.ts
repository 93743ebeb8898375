import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { breakOffTwice } from "./breakOffTwice.ts";

const runMilliseconds = 50;
const heardMilliseconds = 600;
const waitMilliseconds = 1_000;

describe("A begun stream that is held back by crashes that may be refuted", () => {
    // Guards against cutting a stream because its node could not connect to endpoints that live.
    it("goes on once the endpoints are heard again", async () => {
        const { bench } = await breakOffTwice(3, PathState.Down);
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
        const { bench } = await breakOffTwice(3, PathState.Down);
        await bench.clock.advance(waitMilliseconds - runMilliseconds);
        assert.deepEqual(bench.answers, ["200"]);
        await bench.clock.advance(2 * runMilliseconds);
        assert.equal(bench.sentRequests.length, 2);
        assert.deepEqual(bench.answers, ["200", "cut"]);
    });
});
