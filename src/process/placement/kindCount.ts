import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";

/** Number of endpoints of a kind of accelerator. */
export interface KindCount {
    kind: AcceleratorKind;
    /** Number of endpoints by data centre. */
    counts: ReadonlyMap<string, number>;
}
