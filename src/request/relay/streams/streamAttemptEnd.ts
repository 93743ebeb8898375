import type { CompleteAnswer } from "../answers/completeAnswer.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";

/** Why an attempt ended without completing the stream. */
export interface StreamAttemptEnd {
    /** Whether it is certain that the chain has not run the request. */
    isNotRun: boolean;
    /** Whether no byte of the request was sent. */
    isUnsent?: boolean;
    /**
     * Monotonic time in milliseconds at which the connection to the first stage broke, as it does when an endpoint crashes;
     * undefined if it didn't.
     */
    brokenAt?: number;
    /** Whether no node can connect to the first stage after its connection broke; undefined if that was not tested. */
    isDown?: boolean;
    /** The chain over which the stream continues; undefined if one is to be found. */
    replacement?: ReservedChain;
    cause: string;
    /** Ids of endpoints that the next chain must avoid. */
    avoid: readonly string[];
    /** Failure that is forwarded to the caller if no later attempt succeeds. */
    failure?: CompleteAnswer;
}
