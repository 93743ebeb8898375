import { Heap } from "heap-js";
import type { Clock, TimerHandle } from "../../src/process/clock.ts";

interface VirtualTimer {
    time: number;
    /** Breaks ties, so that the order is deterministic. */
    sequence: number;
    /** Undefined once the timer is cancelled. */
    callback: (() => void) | undefined;
}

/** A clock whose time jumps to the next timer. Timers with the same time run in the order in which they were set. */
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

    /** Gets the virtual time in milliseconds, which is also the wall time. */
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

    /** Runs all timers up to a time in milliseconds, and after each one the promise callbacks that it triggers. */
    async runUntil(time: number): Promise<void> {
        // Callbacks of promises that are already settled may set timers.
        await undefined;
        await undefined;
        for (let callback = this.takeDue(time); callback !== undefined; callback = this.takeDue(time)) {
            callback();
            await undefined;
            await undefined;
        }
        this.now = time;
    }

    /** Runs all timers up to a time in milliseconds. Promise callbacks that they trigger run after this call. */
    runTimersUntil(time: number): void {
        for (let callback = this.takeDue(time); callback !== undefined; callback = this.takeDue(time)) {
            callback();
        }
        this.now = time;
    }

    /** Removes the next timer that is due by a time and isn't cancelled, and advances the clock to its time. */
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
