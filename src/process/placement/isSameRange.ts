import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";

/** Checks if an endpoint holds exactly these layers. `held` is undefined if it holds none. */
export function isSameRange(held: HeldLayers | undefined, layers: HeldLayers): boolean {
    return held?.start === layers.start && held.end === layers.end;
}
