import type { ProcessorCause } from "./processorCause.ts";

/** Occurrences of a cause and the time spent on it. */
export interface ProcessorAccountEntry {
    count: number;
    milliseconds: number;
}

/** Synchronous work in progress. */
interface Frame {
    cause: ProcessorCause;
    startedAt: number;
    /** Time of the work nested in it, in milliseconds. */
    innerMilliseconds: number;
}

/**
 * Attributes the time of the event loop's thread to causes. The time of nested work counts for the inner cause only. While it
 * is disabled, each hook costs a call and a comparison.
 *
 * Waits for the processor inside synchronous work count as its time, since only the monotonic clock is read.
 */
export class ProcessorAccount {
    /** The account of this process. There is one, because the process has one event loop. */
    static readonly ofProcess = new ProcessorAccount();
    private readonly entries = new Map<ProcessorCause, ProcessorAccountEntry>();
    private readonly frames: Frame[] = [];
    /** Reads the monotonic time in milliseconds; undefined while the account is disabled. */
    private readTime: (() => number) | undefined;

    private constructor() {}

    /** Creates a disabled account. */
    static create(): ProcessorAccount {
        return new ProcessorAccount();
    }

    /**
     * Enables the account.
     * @param readTime - Reads the monotonic time in milliseconds.
     */
    enable(readTime: () => number): void {
        this.readTime = readTime;
    }

    /** Runs synchronous work that is one occurrence of a cause. */
    run<Result>(cause: ProcessorCause, action: () => Result): Result {
        if (this.readTime === undefined) {
            return action();
        }
        this.getEntry(cause).count += 1;
        return this.measure(cause, action, this.readTime);
    }

    /** Runs synchronous work of an occurrence that is counted elsewhere. */
    runPart<Result>(cause: ProcessorCause, action: () => Result): Result {
        return this.readTime === undefined ? action() : this.measure(cause, action, this.readTime);
    }

    /** Counts an occurrence without time. */
    count(cause: ProcessorCause): void {
        if (this.readTime !== undefined) {
            this.getEntry(cause).count += 1;
        }
    }

    /**
     * Attributes the innermost work in progress of a cause, and its occurrence, to another cause. The outcome of a request, such
     * as a refusal, is known only after most of its work.
     * @returns Whether there was such work.
     */
    reassign(from: ProcessorCause, to: ProcessorCause): boolean {
        const frame = this.readTime && this.frames.findLast(({ cause }) => cause === from);
        if (frame === undefined) {
            return false;
        }
        frame.cause = to;
        this.getEntry(from).count -= 1;
        this.getEntry(to).count += 1;
        return true;
    }

    /** Adds an occurrence whose time was measured elsewhere. */
    add(cause: ProcessorCause, milliseconds: number): void {
        if (this.readTime !== undefined) {
            const entry = this.getEntry(cause);
            entry.count += 1;
            entry.milliseconds += milliseconds;
        }
    }

    /** Gets the totals since the account was enabled, by cause. Work in progress is not included. */
    getEntries(): ReadonlyMap<ProcessorCause, Readonly<ProcessorAccountEntry>> {
        return this.entries;
    }

    private measure<Result>(cause: ProcessorCause, action: () => Result, readTime: () => number): Result {
        const { frames } = this;
        const frame: Frame = { cause, startedAt: readTime(), innerMilliseconds: 0 };
        frames.push(frame);
        try {
            return action();
        }
        finally {
            const milliseconds = readTime() - frame.startedAt;
            frames.pop();
            this.getEntry(frame.cause).milliseconds += milliseconds - frame.innerMilliseconds;
            const outer = frames.at(-1);
            if (outer !== undefined) {
                outer.innerMilliseconds += milliseconds;
            }
        }
    }

    private getEntry(cause: ProcessorCause): ProcessorAccountEntry {
        let entry = this.entries.get(cause);
        if (entry === undefined) {
            entry = { count: 0, milliseconds: 0 };
            this.entries.set(cause, entry);
        }
        return entry;
    }
}
