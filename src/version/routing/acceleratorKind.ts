/** A kind of accelerator. Factors are relative to the engine's base times. */
export interface AcceleratorKind {
    name: string;
    /** Memory for weights and requests, in megabytes. */
    memoryMegabytes: number;
    /** Factor on the time of token steps. */
    stepFactor: number;
    /** Factor on the time of reading prompts. */
    prefillFactor: number;
}
