/** Why a pass returned no result. */
export interface PassFailure {
    /**
     * - `refused`: the endpoint reported that it did not run the pass.
     * - `failed`: the endpoint reported a failure; the pass may have run partially.
     * - `unreachable`: the endpoint did not respond; the pass may have run.
     * - `notSent`: no byte of the pass was sent.
     * - `slow`: the endpoint responds, but so slowly that the request continues without it.
     */
    kind: "refused" | "failed" | "unreachable" | "notSent" | "slow";
    endpoint: string;
    /** Reason given by the endpoint, or a description of the connection error. */
    reason: string;
    message: string;
}
