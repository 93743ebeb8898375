import type { CompleteAnswer } from "../answers/completeAnswer.ts";

/** Why an attempt ended without an answer that can be forwarded. */
export interface DocumentAttemptEnd {
    /** Whether it is certain that the endpoint has not run the request. */
    isNotRun: boolean;
    /** Whether no byte of the request was sent. */
    isUnsent?: boolean;
    /** Whether only the path to the endpoint is lost, while the endpoint itself is alive. */
    isPathLost?: boolean;
    cause: string;
    /** The endpoint's error response, which is forwarded if no other attempt succeeds. */
    answer?: CompleteAnswer;
}
