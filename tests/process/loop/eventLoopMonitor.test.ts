import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { TimerHandle } from "../../../src/process/clock.ts";
import { EventLoopMonitor } from "../../../src/process/loop/eventLoopMonitor.ts";

interface LogLine {
    milliseconds?: number;
    processorMilliseconds?: number;
    job?: string;
    jobMilliseconds?: number;
}

describe("LoopWatch", () => {
    let now: number;
    let processorTime: number;
    let due: (() => void)[];
    let lines: LogLine[];
    let passages: (() => void)[];
    let watch: EventLoopMonitor;

    beforeEach(() => {
        now = 0;
        processorTime = 0;
        due = [];
        lines = [];
        passages = [];
        const setTimer = (_delay: number, callback: () => void): TimerHandle => {
            due.push(callback);
            return { cancel: () => undefined };
        };
        watch = EventLoopMonitor.create({
            clock: { getMonotonicTime: () => now, getWallTime: () => now, setTimer },
            barrier: {
                defer: action => {
                    passages.push(action);
                    return { cancel: () => void passages.splice(passages.indexOf(action), 1) };
                },
            },
            log: { write: (_event, fields) => lines.push(fields ?? {}) },
            getProcessorTime: () => processorTime,
        });
    });

    function runTimersAt(time: number): void {
        now = time;
        for (const callback of due.splice(0)) {
            callback();
        }
    }

    it("runs timers that are on time without logging", () => {
        let runs = 0;
        watch.setTimer(250, () => runs++);
        runTimersAt(260);
        assert.deepEqual([runs, lines.length, watch.getLag()], [1, 0, 0]);
    });

    it("logs once by how much the event loop was late, and the longest work in that time", () => {
        watch.setTimer(50, () => undefined);
        watch.setTimer(250, () => undefined);
        watch.run("short", () => now = 20);
        watch.run("long", () => now = 1_500);
        processorTime = 1_400;
        runTimersAt(1_950);
        assert.deepEqual(lines, [{
            milliseconds: 1_900,
            sinceMilliseconds: 1_950,
            processorMilliseconds: 1_400,
            job: "long",
            jobMilliseconds: 1_480,
        }]);
        assert.equal(watch.getLag(), 1_900);
    });

    it("defers a late timer until all earlier input is read", () => {
        const ran: string[] = [];
        watch.setTimer(10, () => ran.push("first"));
        const second = watch.setTimer(10, () => ran.push("second"));
        runTimersAt(500);
        assert.deepEqual(ran, []);
        second.cancel();
        for (const action of passages) {
            action();
        }
        assert.deepEqual(ran, ["first"]);
    });

    it("resets the lag after the delayed input is processed", () => {
        watch.setTimer(50, () => undefined);
        runTimersAt(1_000);
        now = 2_000;
        assert.equal(watch.getLag(), 0);
    });

    it("attributes a delay only to work that ran during it", () => {
        watch.run("early", () => now = 900);
        watch.setTimer(10, () => undefined);
        runTimersAt(910);
        watch.setTimer(10, () => undefined);
        runTimersAt(2_000);
        assert.equal(lines[0]!.job, "");
    });
});
