/** One kind of log line. Its number never changes meaning. */
export interface LogEvent {
    /** Printed as `FL` and the number. */
    number: number;
    level: "info" | "warn" | "error";
    /** What happened, as a sentence. */
    message: string;
}
