import type { Clock, TimerHandle } from "../../src/process/clock.ts";

interface Timer {
    time: number;
    callback: () => void;
}

/** A clock that only advances when a test advances it. */
export class FakeClock implements Clock {
    private time = 0;
    private readonly timers = new Set<Timer>();

    private constructor() {}

    /** Creates a clock at monotonic time 0. */
    static create(): FakeClock {
        return new FakeClock();
    }

    /** Gets the milliseconds by which the clock was advanced. */
    getMonotonicTime(): number {
        return this.time;
    }

    /** Gets the wall time in milliseconds. The clock starts in November 2023. */
    getWallTime(): number {
        return 1_700_000_000_000 + this.time;
    }

    /** Sets a timer that runs once the clock is advanced to its time. */
    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle {
        const timer = { time: this.time + delayMilliseconds, callback };
        this.timers.add(timer);
        return { cancel: () => void this.timers.delete(timer) };
    }

    /**
     * Advances the clock. Runs the timers that become due in order, and the promise callbacks that follow from each.
     */
    async advance(milliseconds: number): Promise<void> {
        const end = this.time + milliseconds;
        await settle();
        for (let next = this.findNext(end); next !== undefined; next = this.findNext(end)) {
            this.timers.delete(next);
            this.time = Math.max(this.time, next.time);
            next.callback();
            await settle();
        }
        this.time = end;
    }

    /** Lets time pass without running timers, like a process that gets no processor time. They run late at the next advance. */
    freeze(milliseconds: number): void {
        this.time += milliseconds;
    }

    private findNext(end: number): Timer | undefined {
        let next: Timer | undefined;
        for (const timer of this.timers) {
            if (timer.time <= end && (next === undefined || timer.time < next.time)) {
                next = timer;
            }
        }
        return next;
    }
}

/** Waits until all pending promise callbacks have run, including those that they schedule. */
function settle(): Promise<void> {
    return new Promise(resolve => {
        setImmediate(resolve);
    });
}
