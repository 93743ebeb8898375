import type { RequestPlan } from "./requestPlan.ts";

/** One attempt to send a request to a node, as its caller saw it. */
export interface SendRecord {
    plan: RequestPlan;
    node: string;
    /** Wall-clock times in milliseconds. */
    sentAt: number;
    endedAt: number;
    /**
     * Outcome that the response states, or that of the connection: `cut` (closed before the response was complete),
     * `notConnected` or `left` (the caller disconnected); `wrong` if the response is incorrect.
     */
    outcome: string;
    errorCode: string;
    message: string;
    isReplayed: boolean;
    /** Number of executions that the response of a document service states. */
    execution: number;
    chain: string;
    /** Longest time between two events of a stream, in milliseconds. */
    longestGapMilliseconds: number;
}
