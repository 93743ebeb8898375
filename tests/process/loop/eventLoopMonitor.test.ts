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

describe("EventLoopMonitor", () => {
    let now: number;
    let processorTime: number;
    let due: (() => void)[];
    let lines: LogLine[];
    let deferredActions: (() => void)[];
    let monitor: EventLoopMonitor;

    beforeEach(() => {
        now = 0;
        processorTime = 0;
        due = [];
        lines = [];
        deferredActions = [];
        const setTimer = (_delay: number, callback: () => void): TimerHandle => {
            due.push(callback);
            return { cancel: () => undefined };
        };
        monitor = EventLoopMonitor.create({
            clock: { getMonotonicTime: () => now, getWallTime: () => now, setTimer },
            barrier: {
                defer: action => {
                    deferredActions.push(action);
                    return { cancel: () => void deferredActions.splice(deferredActions.indexOf(action), 1) };
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
        monitor.setTimer(250, () => runs++);
        runTimersAt(260);
        assert.deepEqual([runs, lines.length, monitor.getLag()], [1, 0, 0]);
    });

    // Guards against a node that stayed out of rotation after one long pause, because shorter ones renewed the lag of that pause.
    it("reports the largest lag of the last half second, not an earlier one that smaller lags followed", () => {
        const lags: number[] = [];
        for (const [delay, at] of [[0, 3_000], [200, 3_400], [100, 3_700], [50, 3_900]] as const) {
            monitor.setTimer(delay, () => undefined);
            runTimersAt(at);
            lags.push(monitor.getLag());
        }
        assert.deepEqual(lags, [3_000, 3_000, 200, 200]);
    });

    it("logs once by how much the event loop was late, and the longest work in that time", () => {
        monitor.setTimer(50, () => undefined);
        monitor.setTimer(250, () => undefined);
        monitor.run("short", () => now = 20);
        monitor.run("long", () => now = 1_500);
        processorTime = 1_400;
        runTimersAt(1_950);
        assert.deepEqual(lines, [{
            milliseconds: 1_900,
            sinceMilliseconds: 1_950,
            processorMilliseconds: 1_400,
            job: "long",
            jobMilliseconds: 1_480,
        }]);
        assert.equal(monitor.getLag(), 1_900);
    });

    it("defers a late timer until all earlier input is read", () => {
        const ran: string[] = [];
        monitor.setTimer(10, () => ran.push("first"));
        const second = monitor.setTimer(10, () => ran.push("second"));
        runTimersAt(500);
        assert.deepEqual(ran, []);
        second.cancel();
        for (const action of deferredActions) {
            action();
        }
        assert.deepEqual(ran, ["first"]);
    });

    it("resets the lag after the delayed input is processed", () => {
        monitor.setTimer(50, () => undefined);
        runTimersAt(1_000);
        now = 2_000;
        assert.equal(monitor.getLag(), 0);
    });

    it("attributes a delay only to work that ran during it", () => {
        monitor.run("early", () => now = 900);
        monitor.setTimer(10, () => undefined);
        runTimersAt(910);
        monitor.setTimer(10, () => undefined);
        runTimersAt(2_000);
        assert.equal(lines[0]!.job, "");
    });
});
