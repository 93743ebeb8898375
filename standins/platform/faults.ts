/** Faults that the stand-in shows on every call but those below `/standin`. */
export interface Faults {
    /** Whether connections are destroyed at their next call, and watches at once. */
    down: boolean;
    /** Whether calls are accepted and never answered. Connections open at the onset stay silent for good. */
    hang: boolean;
    /** Time that a call waits before it takes effect, in milliseconds. */
    delayMilliseconds: number;
    /** Number of coming writes that take effect and whose connection is then destroyed before the answer. */
    loseAnswers: number;
}
