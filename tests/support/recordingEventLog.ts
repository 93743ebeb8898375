import type { EventLog } from "../../src/process/logging/eventLog.ts";

/** An event log that records its events for tests. */
export class RecordingEventLog implements EventLog {
    readonly numbers: number[] = [];
    /** Fields of each event, in the order of `numbers`. */
    readonly fields: Parameters<EventLog["write"]>[1][] = [];

    private constructor() {}

    /** Creates an empty log. */
    static create(): RecordingEventLog {
        return new RecordingEventLog();
    }

    /** Records an event. */
    write(event: { number: number; }, fields?: Parameters<EventLog["write"]>[1]): void {
        this.numbers.push(event.number);
        this.fields.push(fields);
    }
}
