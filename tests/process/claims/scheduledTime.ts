import type fc from "fast-check";
import type { Clock } from "../../../src/process/clock.ts";

interface Timer {
    dueAt: number;
    callback: () => void;
}

/**
 * Simulated time that a test advances. The scheduler decides when a due timer runs. A long delay simulates a paused
 * process.
 */
export class ScheduledTime {
    private readonly scheduler: fc.Scheduler;
    private readonly timers = new Set<Timer>();
    private now = 1_000_000_000_000;

    private constructor(scheduler: fc.Scheduler) {
        this.scheduler = scheduler;
    }

    static create(scheduler: fc.Scheduler): ScheduledTime {
        return new ScheduledTime(scheduler);
    }

    get(): number {
        return this.now;
    }

    advance(milliseconds: number): void {
        this.now += milliseconds;
        for (const timer of [...this.timers]) {
            if (timer.dueAt <= this.now) {
                this.timers.delete(timer);
                void this.scheduler.schedule(Promise.resolve(), "timer").then(timer.callback);
            }
        }
    }

    /** Runs until no call is in flight and no timer is set. */
    async runToEnd(): Promise<void> {
        await this.scheduler.waitIdle();
        while (this.timers.size > 0) {
            this.advance(Math.min(...[...this.timers].map(timer => timer.dueAt)) - this.now);
            await this.scheduler.waitIdle();
        }
    }

    /** Creates the clock of a process with a skewed wall clock. */
    createClock(skewMilliseconds: number): Clock {
        return {
            getMonotonicTime: () => this.now,
            getWallTime: () => this.now + skewMilliseconds,
            setTimer: (delay, callback) => {
                const timer: Timer = {
                    dueAt: this.now + Math.max(delay, 1),
                    callback: () => isCancelled || callback(),
                };
                let isCancelled = false;
                this.timers.add(timer);
                return {
                    cancel: () => {
                        isCancelled = true;
                        this.timers.delete(timer);
                    },
                };
            },
        };
    }
}
