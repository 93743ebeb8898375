import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { InputBarrier } from "./inputBarrier.ts";
import { ProcessorAccount } from "./processorAccount.ts";
import { ProcessorCause } from "./processorCause.ts";

/** Options of a {@link EventLoopMonitor}. */
interface EventLoopMonitorOptions {
    /** The clock whose timers are monitored. */
    clock: Clock;
    /** Defers late timers until all input that arrived before their expiry is read. */
    barrier: Pick<InputBarrier, "defer">;
    log: EventLog;
    /** Gets the processor time that this process has used, in milliseconds. */
    getProcessorTime(): number;
}

/** How late a timer was, and the monotonic time at which it ran. Both are in milliseconds. */
interface MeasuredLag {
    at: number;
    milliseconds: number;
}

const account = ProcessorAccount.ofProcess;
/** A timer that is later than this shows that the event loop was blocked, and not just a busy iteration. */
const lateThresholdMilliseconds = 100;
/** All input that arrived while the event loop was blocked is processed within this time. */
const recentMilliseconds = 500;
/** A smaller lag within this time after a larger one isn't kept, so that the timers of one delay are not kept one by one. */
const lagResolutionMilliseconds = 10;
/** Minimum interval between reads of the processor time, since each one is a system call. */
const sampleIntervalMilliseconds = 200;
/** Minimum interval between log lines, so that one line covers all timers that one delay has made late. */
const logIntervalMilliseconds = 500;

/**
 * Monitors the lag of the event loop by the timers that the node sets anyway, without additional wake-ups. A lagging event loop
 * acts on outdated input, and neither callers nor peers can distinguish it from a slow network.
 *
 * It is the clock with which the parts of the node set their timers. A late timer runs after all input that has arrived is
 * read. Otherwise the input that it waits for, such as an answer, would count as missing although it has arrived.
 */
export class EventLoopMonitor implements Clock {
    private readonly options: EventLoopMonitorOptions;
    /** The recent lags of which none that followed was as large, so that the largest comes first. */
    private lags: MeasuredLag[] = [];
    private loggedAt = -Infinity;
    private sample: { at: number; processorTime: number; };
    private longestJob = { name: "", milliseconds: 0 };

    private constructor(options: EventLoopMonitorOptions) {
        this.options = options;
        this.sample = { at: options.clock.getMonotonicTime(), processorTime: options.getProcessorTime() };
    }

    /** Creates a monitor. */
    static create(options: EventLoopMonitorOptions): EventLoopMonitor {
        return new EventLoopMonitor(options);
    }

    /** Gets the monotonic time in milliseconds. */
    getMonotonicTime(): number {
        return this.options.clock.getMonotonicTime();
    }

    /** Gets the wall-clock time in milliseconds since the Unix epoch. */
    getWallTime(): number {
        return this.options.clock.getWallTime();
    }

    /** Runs a callback once after a delay, and measures how late the timer is. */
    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle {
        const dueAt = this.getMonotonicTime() + delayMilliseconds;
        let deferred: TimerHandle | undefined;
        const timer = this.options.clock.setTimer(delayMilliseconds, () => {
            if (this.checkTimer(dueAt)) {
                deferred = this.options.barrier.defer(() => account.run(ProcessorCause.Timer, callback));
                return;
            }
            account.run(ProcessorCause.Timer, callback);
        });
        return {
            cancel: () => {
                timer.cancel();
                deferred?.cancel();
            },
        };
    }

    /** Gets the largest recent lag of the event loop in milliseconds; 0 if timers were on time. */
    getLag(): number {
        const now = this.getMonotonicTime();
        return this.lags.find(({ at }) => now - at < recentMilliseconds)?.milliseconds ?? 0;
    }

    /**
     * Runs synchronous work that may take long, so that the log can attribute event loop lag to it.
     * @param name - Name of the work in the log.
     * @param action - The work.
     */
    run<Result>(name: string, action: () => Result): Result {
        const startedAt = this.getMonotonicTime();
        const result = action();
        const milliseconds = this.getMonotonicTime() - startedAt;
        if (milliseconds > this.longestJob.milliseconds) {
            this.longestJob = { name, milliseconds };
        }
        return result;
    }

    /** Checks if the timer is late, and updates the measurements. */
    private checkTimer(dueAt: number): boolean {
        const now = this.getMonotonicTime();
        const late = now - dueAt;
        const isLate = late > lateThresholdMilliseconds;
        if (isLate) {
            this.recordLag(late, now);
        }
        if (now - this.sample.at >= sampleIntervalMilliseconds) {
            this.sample = { at: now, processorTime: this.options.getProcessorTime() };
            this.longestJob = { name: "", milliseconds: 0 };
        }
        return isLate;
    }

    private recordLag(late: number, now: number): void {
        this.lags = this.lags.filter(({ at, milliseconds }) => now - at < recentMilliseconds && milliseconds > late);
        if (now - (this.lags.at(-1)?.at ?? -Infinity) >= lagResolutionMilliseconds) {
            this.lags.push({ at: now, milliseconds: late });
        }
        if (now - this.loggedAt < logIntervalMilliseconds) {
            return;
        }
        this.loggedAt = now;
        const { log, getProcessorTime } = this.options;
        log.write(events.eventLoopDelayed, {
            milliseconds: Math.round(late),
            sinceMilliseconds: Math.round(now - this.sample.at),
            processorMilliseconds: Math.round(getProcessorTime() - this.sample.processorTime),
            job: this.longestJob.name,
            jobMilliseconds: Math.round(this.longestJob.milliseconds),
        });
    }
}
