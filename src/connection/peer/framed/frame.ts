import type { FrameKind } from "./frameKind.ts";

/** One message on a connection between nodes. */
export interface Frame {
    /** Chosen by the caller, and named again in the answer. */
    callId: number;
    kind: FrameKind;
    /** Name of the method that is called; empty in answers. */
    method: string;
    payload: Uint8Array;
}
