import type { FrameKind } from "./frameKind.ts";

/** One message on a connection between nodes. */
export interface Frame {
    /** Number that the caller assigns. The answer contains it. */
    callId: number;
    kind: FrameKind;
    /** Name of the called method. Empty in answers. */
    method: string;
    payload: Uint8Array;
}
