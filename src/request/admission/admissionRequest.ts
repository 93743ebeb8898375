/** A request that asks to be admitted. */
export interface AdmissionRequest {
    customer: string;
    /** Name of the gate that the request passes, see `getGateName`; services of one model share one. */
    gate: string;
    /** Expected work in tokens, prompt and answer together; 1 for a call of a document service. */
    cost: number;
    /** Monotonic time at which the answer loses its use, in milliseconds; undefined where the caller set none. */
    deadline?: number;
    /** Aborted when the caller goes away. */
    signal?: AbortSignal;
}
