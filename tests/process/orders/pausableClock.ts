import type { Clock } from "../../../src/process/clock.ts";
import type { FakeClock } from "../../support/fakeClock.ts";

/**
 * A clock of a process that can be paused: its timers wait, its time goes on. Timers run at whole milliseconds, so that
 * sums of times are exact.
 */
export class PausableClock implements Clock {
    private readonly clock: FakeClock;
    private readonly overdue: (() => void)[] = [];
    private isPaused = false;

    private constructor(clock: FakeClock) {
        this.clock = clock;
    }

    static create(clock: FakeClock): PausableClock {
        return new PausableClock(clock);
    }

    getMonotonicTime(): number {
        return this.clock.getMonotonicTime();
    }

    getWallTime(): number {
        return this.clock.getWallTime();
    }

    setTimer(delayMilliseconds: number, callback: () => void) {
        return this.clock.setTimer(
            Math.ceil(delayMilliseconds),
            () => void (this.isPaused ? this.overdue.push(callback) : callback()),
        );
    }

    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        this.isPaused = false;
        for (const callback of this.overdue.splice(0)) {
            callback();
        }
    }
}
