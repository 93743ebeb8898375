/** A timer that was set on a {@link Clock}. */
export interface TimerHandle {
    /** Stops the timer; does nothing where it has already run. */
    cancel(): void;
}

/** The source of time. Tests pass a fake one; decisions never read the system's clock themselves. */
export interface Clock {
    /** Gets the monotonic time in milliseconds; only differences mean something. */
    getMonotonicTime(): number;
    /** Gets the wall-clock time in milliseconds since the Unix epoch; it may step. */
    getWallTime(): number;
    /**
     * Runs a callback once after a delay.
     * @param delayMilliseconds - Delay in milliseconds.
     * @param callback - Function to run.
     */
    setTimer(delayMilliseconds: number, callback: () => void): TimerHandle;
}
