import type { EventLog } from "../../src/process/logging/eventLog.ts";

/** An event log that records the numbers of its events for tests. */
export class RecordingEventLog implements EventLog {
    readonly numbers: number[] = [];

    private constructor() {}

    /** Creates an empty log. */
    static create(): RecordingEventLog {
        return new RecordingEventLog();
    }

    /** Records the number of an event. */
    write(event: { number: number; }): void {
        this.numbers.push(event.number);
    }
}
