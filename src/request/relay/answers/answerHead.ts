import type { AnswerInstructions } from "../../../connection/instructions/answerInstructions.ts";

/** Status and evaluated headers of an endpoint's answer. */
export interface AnswerHead {
    status: number;
    /** Headers to forward to the caller, as alternating names and values. */
    headers: string[];
    /** Whether the answer carries the id of this request. */
    isForRequest: boolean;
    /** Whether the answer carries the endpoint's signature. A success without it counts as a failure. */
    isSigned: boolean;
    /** Whether the endpoint guarantees that it has not run the request. */
    isNotRun: boolean;
    /** host:port of the endpoint of the chain that caused the failure, if the answer names one. */
    faultyAddress: string | undefined;
    /** Current rate limit of the endpoint for all nodes together, in requests per second; undefined if it states none. */
    requestsPerSecond: number | undefined;
    /** What the endpoint says about further requests from this node. */
    instructions: AnswerInstructions;
}
