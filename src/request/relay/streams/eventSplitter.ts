import type { StreamEvent } from "./streamEvent.ts";
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const space = 0x20;
const digitZero = 0x30;
const digitNine = 0x39;
const decimalRadix = 10;
const idField = Buffer.from("id:");

/** Splits the bytes of a stream into complete events, which keep their exact bytes. */
export class EventSplitter {
    /** Parts of the incomplete event. They are joined only when its end may have arrived, so that a long event costs linear time. */
    private parts: Buffer[] = [];
    private partBytes = 0;

    private constructor() {}

    /** Creates a splitter for a new stream. */
    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds bytes and returns the events that they complete. */
    push(chunk: Buffer): StreamEvent[] {
        if (chunk.length === 0) {
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
            events.push(createEvent(bytes.subarray(start, end)));
            start = end;
        }
        this.parts = start === bytes.length ? [] : [bytes.subarray(start)];
        this.partBytes = bytes.length - start;
        return events;
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

function createEvent(bytes: Buffer): StreamEvent {
    return { bytes, id: findId(bytes) };
}

/** Finds the first line with a numeric id. Reads the bytes in place, since decoding them as text would copy each event. */
function findId(bytes: Buffer): number | undefined {
    for (let lineStart = 0; lineStart < bytes.length;) {
        const id = readId(bytes, lineStart);
        if (id !== undefined) {
            return id;
        }
        const lineEnd = bytes.indexOf(lineFeed, lineStart);
        lineStart = lineEnd === -1 ? bytes.length : lineEnd + 1;
    }
    return undefined;
}

/** Reads the id of a line; undefined if the line has none or one that is not a number. */
function readId(bytes: Buffer, lineStart: number): number | undefined {
    for (let index = 0; index < idField.length; index++) {
        if (bytes[lineStart + index] !== idField[index]) {
            return undefined;
        }
    }
    let at = lineStart + idField.length;
    at += bytes[at] === space ? 1 : 0;
    const firstDigit = at;
    let id = 0;
    for (let byte = bytes[at]!; byte >= digitZero && byte <= digitNine; byte = bytes[at]!) {
        id = id * decimalRadix + byte - digitZero;
        at += 1;
    }
    const isLineEnd = bytes[at] === lineFeed || bytes[at] === carriageReturn;
    return at > firstDigit && isLineEnd ? id : undefined;
}
