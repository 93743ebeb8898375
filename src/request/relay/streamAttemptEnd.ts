import type { WholeAnswer } from "./wholeAnswer.ts";

/** Why a run brings no further events. */
export interface StreamAttemptEnd {
    /** Whether the chain has surely not run the request. */
    isNotRun: boolean;
    /** Whether no byte of it was sent. */
    isUnsent?: boolean;
    /** Whether the first stage broke the connection off, as an endpoint that ends does. */
    isBroken?: boolean;
    cause: string;
    /** Ids of endpoints that the next chain avoids. */
    avoid: string[];
    /** Passed on where nothing better comes. */
    failure?: WholeAnswer;
}
