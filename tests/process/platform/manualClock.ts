import type { Clock, TimerHandle } from "../../../src/process/clock.ts";

interface Timer {
    at: number;
    callback: () => void;
}

/** A clock that only advances when a test says so. */
export class ManualClock implements Clock {
    private now = 0;
    private readonly timers = new Set<Timer>();

    private constructor() {
    }

    static create(): ManualClock {
        return new ManualClock();
    }

    getMonotonicTime(): number {
        return this.now;
    }

    getWallTime(): number {
        return this.now;
    }

    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle {
        const timer = { at: this.now + delayMilliseconds, callback };
        this.timers.add(timer);
        return { cancel: () => this.timers.delete(timer) };
    }

    /** Advances the time and runs the timers that are due, in order. */
    advance(milliseconds: number): void {
        const end = this.now + milliseconds;
        for (let timer = this.findNextTimer(end); timer !== undefined; timer = this.findNextTimer(end)) {
            this.timers.delete(timer);
            this.now = timer.at;
            timer.callback();
        }
        this.now = end;
    }

    private findNextTimer(end: number): Timer | undefined {
        const due = [...this.timers].filter(timer => timer.at <= end);
        return due.sort((left, right) => left.at - right.at)[0];
    }
}
