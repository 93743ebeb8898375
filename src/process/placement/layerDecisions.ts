import type { LayerAssignment } from "./layerAssignment.ts";
import type { LayerMove } from "./layerMove.ts";

/** Orders that should be given. */
export interface LayerDecisions {
    /** Assignments for endpoints that hold neither a column nor a part of one; `chooseLoads` decides which come first. */
    assignments: LayerAssignment[];
    /**
     * Moves of endpoints that already hold a column, with the most important first: at most one for a column that the
     * fleet lacks, one for each data centre that lacks a column, and only without these one for balance.
     */
    moves: LayerMove[];
}
