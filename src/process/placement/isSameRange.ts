import type { HeldLayers } from "../../request/relay/heldLayers.ts";

/** Whether an endpoint holds just these layers; undefined stands for none. */
export function isSameRange(held: HeldLayers | undefined, layers: HeldLayers): boolean {
    return held?.start === layers.start && held.end === layers.end;
}
