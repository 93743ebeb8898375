import type { AcceleratorKind } from "../../../version/routing/acceleratorKind.ts";

/** The work of one stage. */
export interface StageWork {
    kind: AcceleratorKind;
    /** Layers that the stage runs. */
    layers: number;
    /** In-flight requests at the endpoint, including this one. */
    requests: number;
    /** Factor by which the endpoint is slower than usual. */
    slowness: number;
}
