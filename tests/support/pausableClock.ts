import type { Clock } from "../../src/process/clock.ts";
import type { FakeClock } from "./fakeClock.ts";

/**
 * A clock of a process that can be paused: its timers wait while its time continues. Timers run at whole milliseconds,
 * so that sums of times are exact.
 */
export class PausableClock implements Clock {
    private readonly clock: FakeClock;
    private readonly overdue: (() => void)[] = [];
    private isPaused = false;

    private constructor(clock: FakeClock) {
        this.clock = clock;
    }

    /** Creates a running clock on top of another clock. */
    static create(clock: FakeClock): PausableClock {
        return new PausableClock(clock);
    }

    /** Gets the time of the underlying clock, paused or not. */
    getMonotonicTime(): number {
        return this.clock.getMonotonicTime();
    }

    /** Gets the wall time of the underlying clock, paused or not. */
    getWallTime(): number {
        return this.clock.getWallTime();
    }

    /** Sets a timer. A timer that becomes due during a pause runs when the pause ends. */
    setTimer(delayMilliseconds: number, callback: () => void) {
        return this.clock.setTimer(
            Math.ceil(delayMilliseconds),
            () => void (this.isPaused ? this.overdue.push(callback) : callback()),
        );
    }

    /** Delays timers that become due until {@link resume}. */
    pause(): void {
        this.isPaused = true;
    }

    /** Ends the pause and runs the delayed timers in the order in which they became due. */
    resume(): void {
        this.isPaused = false;
        for (const callback of this.overdue.splice(0)) {
            callback();
        }
    }
}
