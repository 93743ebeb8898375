/** Faults that apply to all calls except those below `/standin`. */
export interface Faults {
    /** Whether each call's connection is destroyed. Open watches are destroyed at once. */
    down: boolean;
    /** Whether calls never get a response. Connections that are open when this is set stay silent permanently. */
    hang: boolean;
    /** Delay before a call is executed, in milliseconds. */
    delayMilliseconds: number;
    /** Number of next writes that are executed but whose connection is destroyed before the response. */
    loseAnswers: number;
}
