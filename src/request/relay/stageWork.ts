import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";

/** What one stage is asked to do. */
export interface StageWork {
    kind: AcceleratorKind;
    /** Layers that the stage runs. */
    layers: number;
    /** Requests that are being answered there, this one included. */
    requests: number;
    /** Factor on the usual times. */
    slowness: number;
}
