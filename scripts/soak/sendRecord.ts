import type { RequestPlan } from "./requestPlan.ts";

/** One sending of a request to one node, as its caller saw it. */
export interface SendRecord {
    plan: RequestPlan;
    node: string;
    /** Wall-clock times in milliseconds. */
    sentAt: number;
    endedAt: number;
    /**
     * Outcome of the answer, or what became of the connection: `cut` (it broke before the answer was whole),
     * `notConnected`, `left` (the caller went away).
     */
    outcome: string;
    errorCode: string;
    message: string;
    isReplayed: boolean;
    /** Executions that a document's answer names. */
    execution: number;
    chain: string;
    /** Longest time between two pieces of a stream, in milliseconds. */
    longestGapMilliseconds: number;
}
