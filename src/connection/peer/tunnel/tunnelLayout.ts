/** Layout of a frame of a tunnel: the length of the payload, the kind, and the payload. */
export const tunnelLayout = {
    kindOffset: 4,
    payloadOffset: 5,
    /** Maximum size of a payload. Endpoints' bytes are passed on as they are read, in much smaller parts. */
    maximumPayloadBytes: 1024 * 1024,
} as const;
