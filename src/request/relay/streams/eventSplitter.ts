import { EventLineKind } from "./eventLineKind.ts";
import { getEventLineKind } from "./getEventLineKind.ts";
import { parseEvent } from "./parseEvent.ts";
import type { StreamEvent } from "./streamEvent.ts";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Splits the bytes of a stream into complete events, which keep their exact bytes. Returns nothing from the first bytes on that are no event. */
export class EventSplitter {
    /** Parts of the incomplete event. They are joined only when its end may have arrived, so that a long event costs linear time. */
    private parts: Buffer[] = [];
    private partBytes = 0;
    private hasInvalidBytes = false;

    private constructor() {}

    /** Creates a splitter for a new stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds bytes and returns the events that they complete. */
    push(chunk: Buffer): StreamEvent[] {
        if (chunk.length === 0 || this.hasInvalidBytes) {
            return [];
        }
        this.parts.push(chunk);
        this.partBytes += chunk.length;
        if (!chunk.includes(lineFeed)) {
            return [];
        }
        const bytes = this.parts.length === 1 ? chunk : Buffer.concat(this.parts);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
            const event = parseEvent(bytes.subarray(start, end));
            if (event === undefined) {
                this.hasInvalidBytes = true;
                return events;
            }
            events.push(event);
            start = end;
        }
        this.hasInvalidBytes = bytes.includes(lineFeed, start)
            && getEventLineKind(bytes, start) === EventLineKind.Invalid;
        this.parts = start === bytes.length ? [] : [bytes.subarray(start)];
        this.partBytes = bytes.length - start;
        return events;
    }

    /** Checks if bytes have come that are no event. They are recognized at the end of their first line or at the next empty line. */
    isInvalid(): boolean {
        return this.hasInvalidBytes;
    }

    /** Checks if there are bytes of an incomplete event. */
    hasIncompleteEvent(): boolean {
        return this.partBytes > 0;
    }

    /** Gets the size of the incomplete event in bytes. */
    getIncompleteBytes(): number {
        return this.partBytes;
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
