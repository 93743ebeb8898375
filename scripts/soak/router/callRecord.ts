import type { CallKind } from "./callKind.ts";
/** A request as its caller saw it. */
export interface CallRecord {
    id: string;
    kind: CallKind;
    method: "GET" | "POST";
    path: string;
    body: string;
    /** Name of the node. */
    node: string;
    /** Wall-clock times in milliseconds. */
    sentAt: number;
    endedAt: number;
    /** When its caller left before its answer had ended, in wall-clock milliseconds; undefined where it stayed. */
    leftAt: number | undefined;
    /** 0 where the connection ended before a head came. */
    status: number;
    /** The endpoint's signature; undefined where the answer bears none. */
    signature: string | undefined;
    text: string;
    /** Whether the answer came to its proper end. */
    isComplete: boolean;
    /** Why the answer is not complete. */
    reason: string;
}
