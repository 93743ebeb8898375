/** Why a pass brought no result. */
export interface PassFailure {
    /**
     * - `refused`: the endpoint said that it did not run the pass.
     * - `failed`: the endpoint said that it failed; it may have run in part.
     * - `unreachable`: no connection answered; the pass may have run.
     * - `notSent`: no byte of the pass left this node.
     * - `slow`: the endpoint answers, but so slowly that the request goes on without it.
     */
    kind: "refused" | "failed" | "unreachable" | "notSent" | "slow";
    endpoint: string;
    /** The endpoint's reason, or what was seen of the connection. */
    reason: string;
    message: string;
}
