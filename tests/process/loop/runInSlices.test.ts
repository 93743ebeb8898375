import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runInSlices } from "../../../src/process/loop/runInSlices.ts";

describe("runInSlices", () => {
    function* work(steps: number, step: () => void): Generator<void, string> {
        for (let count = 0; count < steps; count++) {
            step();
            yield;
        }
        return "done";
    }

    it("yields to the event loop after each slice, and returns the result", async () => {
        let now = 0;
        let longest = 0;
        let sliceStart = 0;
        const setTimer = (_delay: number, callback: () => void) => {
            longest = Math.max(longest, now - sliceStart);
            sliceStart = now;
            setImmediate(callback);
            return { cancel: () => undefined };
        };
        const result = await runInSlices(work(500, () => now += 1), { getMonotonicTime: () => now, setTimer });
        assert.equal(result, "done");
        assert.ok(longest > 0 && longest <= 5, `${longest} ms in one slice`);
    });

    it("runs short work without yielding", async () => {
        let timers = 0;
        const setTimer = () => {
            timers += 1;
            return { cancel: () => undefined };
        };
        assert.equal(await runInSlices(work(3, () => undefined), { getMonotonicTime: () => 0, setTimer }), "done");
        assert.equal(timers, 0);
    });
});
