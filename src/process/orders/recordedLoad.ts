import type { PlannedLoad } from "./plannedLoad.ts";

/** A load as it is written down for a successor. */
export interface RecordedLoad extends PlannedLoad {
    /** Whether the load is over; it still counts for the budget for a minute. */
    isSettled: boolean;
}
