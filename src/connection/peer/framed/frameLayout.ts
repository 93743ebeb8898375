/**
 * Offsets and sizes of the fields of a frame. A frame consists of its length (which doesn't count the length field),
 * the call ID, the kind, the length of the method name, the method name and the payload.
 */
export const frameLayout = {
    lengthBytes: 4,
    callOffset: 4,
    kindOffset: 8,
    methodLengthOffset: 9,
    methodOffset: 10,
    /** Maximum size of a frame, including the length field. A configuration has at most 1 MB. */
    maximumBytes: 4 * 1024 * 1024,
} as const;
