/** A kind of accelerator. Its factors are relative to the times in {@link EngineModel}. */
export interface AcceleratorKind {
    name: string;
    /** Memory for weights and requests, in megabytes. */
    memoryMegabytes: number;
    /** Factor on the time of decoding steps. */
    stepFactor: number;
    /** Factor on the prefill time. */
    prefillFactor: number;
}
