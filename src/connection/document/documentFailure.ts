/** Why a document call returned no response. */
export interface DocumentFailure {
    /**
     * - `notSent`: no connection was established, so no byte was sent.
     * - `refused`: the endpoint reported that it did not run the call.
     * - `unknown`: the call may have run.
     */
    kind: "notSent" | "refused" | "unknown";
    endpoint: string;
    message: string;
}
