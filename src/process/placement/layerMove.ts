import type { LayerAssignment } from "./layerAssignment.ts";
import type { MovePurpose } from "./movePurpose.ts";

/** A move of an endpoint from one column to another. */
export interface LayerMove extends LayerAssignment {
    purpose: MovePurpose;
}
