/** A kind of log event. */
export interface LogEvent {
    /** Unique number, written as `FL` and the number. Its meaning never changes. */
    number: number;
    level: "info" | "warn" | "error";
    /** Description of the event, as a sentence. */
    message: string;
}
