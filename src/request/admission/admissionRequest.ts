/** A request for admission. */
export interface AdmissionRequest {
    customer: string;
    /** Name of the gate that admits the request, see `getGateName`; services of one model share a gate. */
    gate: string;
    /** Expected cost in tokens of the prompt and the answer; 1 for a call of a document service. */
    cost: number;
    /** Monotonic time after which the caller has no use for the answer, in milliseconds; undefined if the caller set none. */
    deadline?: number;
    /** Aborted when the caller disconnects. */
    signal?: AbortSignal;
}
