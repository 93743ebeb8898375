import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";

/** How many endpoints of a kind there are. */
export interface KindCount {
    kind: AcceleratorKind;
    /** By data centre. */
    counts: ReadonlyMap<string, number>;
}
