import type { StreamEvent } from "./streamEvent.ts";
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(\d+)\r?$/m;

/** Splits the bytes of a stream into complete events, which keep their exact bytes. */
export class EventSplitter {
    private incompleteEvent: Buffer = Buffer.alloc(0);

    private constructor() {}

    /** Creates a splitter for a new stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds bytes and returns the events that they complete. */
    push(chunk: Buffer): StreamEvent[] {
        const bytes = this.incompleteEvent.length === 0 ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
            events.push(createEvent(bytes.subarray(start, end)));
            start = end;
        }
        this.incompleteEvent = bytes.subarray(start);
        return events;
    }

    /** Checks if there are bytes of an incomplete event. */
    hasIncompleteEvent(): boolean {
        return this.incompleteEvent.length > 0;
    }
}

/** Finds the end of the empty line that terminates the next event; -1 if it hasn't arrived yet. */
function findEventEnd(bytes: Buffer, start: number): number {
    for (let lineEnd = bytes.indexOf(lineFeed, start); lineEnd !== -1; lineEnd = bytes.indexOf(lineFeed, lineEnd + 1)) {
        const nextLineEnd = bytes[lineEnd + 1] === carriageReturn ? lineEnd + 2 : lineEnd + 1;
        if (bytes[nextLineEnd] === lineFeed) {
            return nextLineEnd + 1;
        }
    }
    return -1;
}

function createEvent(bytes: Buffer): StreamEvent {
    const id = idPattern.exec(bytes.toString("latin1"))?.[1];
    return { bytes, id: id === undefined ? undefined : Number(id) };
}
