import { Heap } from "heap-js";
import type { Clock, TimerHandle } from "../../src/process/clock.ts";

interface VirtualTimer {
    time: number;
    /** Breaks ties, so that the order is the same in each run. */
    sequence: number;
    /** Undefined once the timer is cancelled. */
    callback: (() => void) | undefined;
}

/** A clock whose time goes straight to the next timer. Timers of the same time run in the order of their setting. */
export class VirtualClock implements Clock {
    private now = 0;
    private sequence = 0;
    private readonly timers = new Heap<VirtualTimer>((a, b) => a.time - b.time || a.sequence - b.sequence);

    private constructor() {}

    /** Creates a clock at time 0. */
    static create(): VirtualClock {
        return new VirtualClock();
    }

    /** Gets the virtual time in milliseconds. */
    getMonotonicTime(): number {
        return this.now;
    }

    /** Gets the virtual time in milliseconds, which is the wall time too. */
    getWallTime(): number {
        return this.now;
    }

    /** Sets a timer; a negative delay counts as 0. */
    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle {
        const timer: VirtualTimer = {
            time: this.now + Math.max(0, delayMilliseconds),
            sequence: this.sequence++,
            callback,
        };
        this.timers.push(timer);
        return {
            cancel: () => {
                timer.callback = undefined;
            },
        };
    }

    /** Runs all timers up to a time in milliseconds, and between them what their callbacks settled. */
    async runUntil(time: number): Promise<void> {
        // What was settled before may set timers.
        await undefined;
        await undefined;
        for (let callback = this.takeDue(time); callback !== undefined; callback = this.takeDue(time)) {
            callback();
            await undefined;
            await undefined;
        }
        this.now = time;
    }

    /** Runs all timers up to a time in milliseconds; promises that they settle go on after the call. */
    runTimersUntil(time: number): void {
        for (let callback = this.takeDue(time); callback !== undefined; callback = this.takeDue(time)) {
            callback();
        }
        this.now = time;
    }

    /** Takes the next timer that is due by a time and was not cancelled, and goes on to its time. */
    private takeDue(time: number): (() => void) | undefined {
        for (let next = this.timers.peek(); next !== undefined && next.time <= time; next = this.timers.peek()) {
            this.timers.pop();
            if (next.callback !== undefined) {
                this.now = next.time;
                return next.callback;
            }
        }
        return undefined;
    }
}
