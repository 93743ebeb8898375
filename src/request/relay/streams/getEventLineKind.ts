import { EventLineKind } from "./eventLineKind.ts";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const hyphen = 0x2d;
const digitZero = 0x30;
const digitNine = 0x39;
const colon = 0x3a;
const underscore = 0x5f;
const firstLetter = 0x61;
const lastLetter = 0x7a;

/** Gets the kind of a complete line. Reads the bytes in place, since decoding them as text would copy each event. */
export function getEventLineKind(bytes: Buffer, lineStart: number): EventLineKind {
    if (bytes[lineStart] === colon) {
        return EventLineKind.Comment;
    }
    let nameEnd = lineStart;
    while (isNameByte(bytes[nameEnd]!)) {
        nameEnd += 1;
    }
    const isLineEnd = bytes[nameEnd] === lineFeed
        || bytes[nameEnd] === carriageReturn && bytes[nameEnd + 1] === lineFeed;
    if (nameEnd === lineStart) {
        return isLineEnd ? EventLineKind.Empty : EventLineKind.Invalid;
    }
    return isLineEnd || bytes[nameEnd] === colon ? EventLineKind.Field : EventLineKind.Invalid;
}

function isNameByte(byte: number): boolean {
    return byte >= firstLetter && byte <= lastLetter
        || byte >= digitZero && byte <= digitNine
        || byte === hyphen
        || byte === underscore;
}
