import { Heap } from "heap-js";
import type { Clock, TimerHandle } from "../../src/process/clock.ts";

interface VirtualTimer {
    time: number;
    sequence: number;
    callback: (() => void) | undefined;
}

/** A clock whose time goes straight to the next timer. Timers of the same time run in the order of their setting. */
export class VirtualClock implements Clock {
    private now = 0;
    private sequence = 0;
    private readonly timers = new Heap<VirtualTimer>((a, b) => a.time - b.time || a.sequence - b.sequence);

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

    /** Runs all timers up to a time, and between them what their callbacks settled. */
    async runUntil(time: number): Promise<void> {
        // What was settled before may set timers.
        await undefined;
        await undefined;
        for (let next = this.timers.peek(); next !== undefined && next.time <= time; next = this.timers.peek()) {
            this.timers.pop();
            if (next.callback === undefined) {
                continue;
            }
            this.now = next.time;
            next.callback();
            await undefined;
            await undefined;
        }
        this.now = time;
    }
}
