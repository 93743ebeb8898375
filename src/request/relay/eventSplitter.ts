import type { StreamEvent } from "./streamEvent.ts";
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(\d+)\r?$/m;

/** Cuts a stream's bytes into whole events, without changing a byte of them. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    private constructor() {}

    /** Creates a splitter at the beginning of a stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Takes bytes and returns the events that they complete. */
    push(chunk: Buffer): StreamEvent[] {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
            events.push(createEvent(bytes.subarray(start, end)));
            start = end;
        }
        this.rest = bytes.subarray(start);
        return events;
    }

    /** Whether bytes of an event are here that isn't whole yet. */
    hasRest(): boolean {
        return this.rest.length > 0;
    }
}

/** Finds the end of the empty line that ends the next event; -1 where it isn't here yet. */
function findEventEnd(bytes: Buffer, start: number): number {
    for (let at = bytes.indexOf(lineFeed, start); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
        const next = bytes[at + 1] === carriageReturn ? at + 2 : at + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}

function createEvent(bytes: Buffer): StreamEvent {
    const id = idPattern.exec(bytes.toString("latin1"))?.[1];
    return { bytes, id: id === undefined ? undefined : Number(id) };
}
