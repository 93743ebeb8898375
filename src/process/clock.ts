/** A timer that was set on a {@link Clock}. */
export interface TimerHandle {
    /** Cancels the timer. Does nothing if it has already run. */
    cancel(): void;
}

/** Source of time. Code that depends on time uses it instead of the system clock, so that tests can replace it. */
export interface Clock {
    /** Gets the monotonic time in milliseconds. Only differences are meaningful. */
    getMonotonicTime(): number;
    /** Gets the wall-clock time in milliseconds since the Unix epoch. It may jump forward or backward. */
    getWallTime(): number;
    /**
     * Runs a callback once after a delay.
     */
    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle;
}
