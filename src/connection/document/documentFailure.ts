/** Why a document call brought no answer. */
export interface DocumentFailure {
    /**
     * - `notSent`: no connection came about; no byte left this node.
     * - `refused`: the endpoint said that it did not run the call.
     * - `unknown`: the call may have run.
     */
    kind: "notSent" | "refused" | "unknown";
    endpoint: string;
    message: string;
}
