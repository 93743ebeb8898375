import type { CallKind } from "./callKind.ts";
import type { PromptSeriesRole } from "./promptSeriesRole.ts";

/** A request as its caller saw it. */
export interface CallRecord {
    id: string;
    kind: CallKind;
    method: "GET" | "POST";
    path: string;
    body: string;
    /** Name of the customer. */
    customer: string;
    /** Name of the node. */
    node: string;
    /** Wall-clock times in milliseconds. */
    sentAt: number;
    endedAt: number;
    /** Wall-clock time at which the caller disconnected early, in milliseconds; undefined if it did not. */
    leftAt: number | undefined;
    /** Time without an event after which the caller leaves its stream, in milliseconds; undefined if it does not. */
    patienceMilliseconds?: number;
    /** Id of the request ahead, if this one was sent over its connection right behind it; undefined for most requests. */
    aheadId?: string;
    /** HTTP status; 0 if the connection closed before the response headers. */
    status: number;
    /** Signature of the endpoint; undefined if the response has none. */
    signature: string | undefined;
    text: string;
    /** Whether the response was received completely. */
    isComplete: boolean;
    /** Its role in a series of requests that declare the parts of their prompts; undefined for other requests. */
    role?: PromptSeriesRole;
    /** Why the response is not complete. */
    reason: string;
}
