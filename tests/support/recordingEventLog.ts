import type { EventLog } from "../../src/process/logging/eventLog.ts";

/** An event log that keeps the numbers of its events for a test to read. */
export class RecordingEventLog implements EventLog {
    readonly numbers: number[] = [];

    private constructor() {}

    /** Creates an empty log. */
    static create(): RecordingEventLog {
        return new RecordingEventLog();
    }

    /** Keeps the number of an event. */
    write(event: { number: number; }): void {
        this.numbers.push(event.number);
    }
}
