/** Kinds of frames that the far end of a tunnel sends. */
export const TunnelFrameKind = {
    /** The connection to the endpoint is open. */
    Opened: 0,
    /** Bytes of the endpoint. */
    Data: 1,
    /** The endpoint has closed its connection regularly. Without this frame, the end of the tunnel is a failure. */
    End: 2,
    /** The connection to the endpoint could not be opened. The payload is the reason as text. */
    Failed: 3,
} as const;
export type TunnelFrameKind = typeof TunnelFrameKind[keyof typeof TunnelFrameKind];
