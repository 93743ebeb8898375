import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { InputBarrier } from "./inputBarrier.ts";

/** Options of a {@link LoopWatch}. */
interface LoopWatchOptions {
    /** The clock whose timers are watched. */
    clock: Clock;
    /** Has late timers wait until all is read that came before their ends. */
    barrier: Pick<InputBarrier, "pass">;
    log: EventLog;
    /** Gets the processor time that this process has used, in milliseconds. */
    getProcessorTime(): number;
}

/** A timer that is later than this tells of a loop that was held up, and not of a full turn. */
const lateMilliseconds = 100;
/** Whatever had come while the loop was late is taken up within this time. */
const recentMilliseconds = 500;
/** The processor time is read at most so often, since reading it costs a call of the system. */
const sampleMilliseconds = 200;
/** One line tells of all timers that one delay has made late. */
const lineMilliseconds = 500;

/**
 * Watches how late the event loop is, by the timers that the node sets anyway, so that it wakes no more often. A late loop acts on
 * what was true when a message was written, and neither its callers nor its peers can tell it from a slow network.
 *
 * It is the clock that the node's parts set their timers with. A timer that is late runs after all input that has come: else what it
 * waits for, such as an answer, would be taken as missing though it is there.
 */
export class LoopWatch implements Clock {
    private readonly options: LoopWatchOptions;
    private latest = { at: -Infinity, milliseconds: 0 };
    private writtenAt = -Infinity;
    private sample: { at: number; processorTime: number; };
    private longestJob = { name: "", milliseconds: 0 };

    private constructor(options: LoopWatchOptions) {
        this.options = options;
        this.sample = { at: options.clock.getMonotonicTime(), processorTime: options.getProcessorTime() };
    }

    /** Creates a watch that has seen no timer. */
    static create(options: LoopWatchOptions): LoopWatch {
        return new LoopWatch(options);
    }

    /** Gets the monotonic time in milliseconds. */
    getMonotonicTime(): number {
        return this.options.clock.getMonotonicTime();
    }

    /** Gets the wall-clock time in milliseconds since the Unix epoch. */
    getWallTime(): number {
        return this.options.clock.getWallTime();
    }

    /** Runs a callback once after a delay, and notes how late it runs. */
    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle {
        const dueAt = this.getMonotonicTime() + delayMilliseconds;
        let passage: TimerHandle | undefined;
        const timer = this.options.clock.setTimer(delayMilliseconds, () => {
            if (this.noteTimer(dueAt)) {
                passage = this.options.barrier.pass(callback);
                return;
            }
            callback();
        });
        return {
            cancel: () => {
                timer.cancel();
                passage?.cancel();
            },
        };
    }

    /** Gets by how much the loop was late a moment ago, in milliseconds; 0 where it was in time. */
    getLateness(): number {
        const { at, milliseconds } = this.latest;
        return this.getMonotonicTime() - at < recentMilliseconds ? milliseconds : 0;
    }

    /**
     * Runs a part of the node's work that may take long, so that a late loop can be laid to it.
     * @param name - Named in the log.
     * @param action - The work, done when it returns.
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

    /** Returns whether the timer is late. */
    private noteTimer(dueAt: number): boolean {
        const now = this.getMonotonicTime();
        const late = now - dueAt;
        const isLate = late > lateMilliseconds;
        if (isLate) {
            this.noteLate(late, now);
        }
        if (now - this.sample.at >= sampleMilliseconds) {
            this.sample = { at: now, processorTime: this.options.getProcessorTime() };
            this.longestJob = { name: "", milliseconds: 0 };
        }
        return isLate;
    }

    private noteLate(late: number, now: number): void {
        this.latest = { at: now, milliseconds: Math.max(late, this.getLateness()) };
        if (now - this.writtenAt < lineMilliseconds) {
            return;
        }
        this.writtenAt = now;
        const { log, getProcessorTime } = this.options;
        log.write(events.loopLate, {
            milliseconds: Math.round(late),
            sinceMilliseconds: Math.round(now - this.sample.at),
            processorMilliseconds: Math.round(getProcessorTime() - this.sample.processorTime),
            job: this.longestJob.name,
            jobMilliseconds: Math.round(this.longestJob.milliseconds),
        });
    }
}
