import { EventLineKind } from "./eventLineKind.ts";
import { getEventLineKind } from "./getEventLineKind.ts";
import type { StreamEvent } from "./streamEvent.ts";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const space = 0x20;
const digitZero = 0x30;
const digitNine = 0x39;
const decimalRadix = 10;
const idField = Buffer.from("id:");

/**
 * Parses the bytes up to an empty line. Endpoints number their events, so fields without a numeric id are no event. The values of other
 * fields are not interpreted.
 * @returns The event, or undefined if the bytes are neither an event nor comments.
 */
export function parseEvent(bytes: Buffer): StreamEvent | undefined {
    let id: number | undefined;
    let hasFields = false;
    for (let lineStart = 0; lineStart < bytes.length; lineStart = bytes.indexOf(lineFeed, lineStart) + 1) {
        const kind = getEventLineKind(bytes, lineStart);
        if (kind === EventLineKind.Invalid) {
            return undefined;
        }
        if (kind === EventLineKind.Field) {
            hasFields = true;
            id ??= readId(bytes, lineStart);
        }
    }
    return hasFields && id === undefined ? undefined : { bytes, id };
}

/** Reads the id of a field; undefined if the field is another one or its value is not a number. */
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
    return at > firstDigit && isLineEnd && Number.isSafeInteger(id) ? id : undefined;
}
