/** Where the parts of a frame stand: its length without the length itself, the call, the kind, the method's length, the method, the payload. */
export const frameLayout = {
    lengthBytes: 4,
    callOffset: 4,
    kindOffset: 8,
    methodLengthOffset: 9,
    methodOffset: 10,
    /** Longer frames are no proper ones; a configuration has at most 1 MB. */
    maximumBytes: 4 * 1024 * 1024,
} as const;
