import { Heap } from "heap-js";
import type { Clock, TimerHandle } from "../../src/process/clock.ts";

interface Timer {
    time: number;
    /** Breaks ties, so that the order is the same in each run. */
    order: number;
    callback: (() => void) | undefined;
}

/** A clock whose time passes only when its timers run. */
export class VirtualClock implements Clock {
    private readonly timers = new Heap<Timer>((a, b) => a.time - b.time || a.order - b.order);
    private now = 0;
    private order = 0;

    private constructor() {}

    static create(): VirtualClock {
        return new VirtualClock();
    }

    getMonotonicTime(): number {
        return this.now;
    }

    getWallTime(): number {
        return this.now;
    }

    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle {
        const timer: Timer = { time: this.now + delayMilliseconds, order: this.order++, callback };
        this.timers.push(timer);
        return {
            cancel: () => {
                timer.callback = undefined;
            },
        };
    }

    /** Runs all timers up to a time, in milliseconds. */
    runUntil(time: number): void {
        for (let next = this.timers.peek(); next !== undefined && next.time <= time; next = this.timers.peek()) {
            this.timers.pop();
            this.now = next.time;
            next.callback?.();
        }
        this.now = time;
    }
}
