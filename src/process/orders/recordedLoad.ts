import type { PlannedLoad } from "./plannedLoad.ts";

/** A load as it is stored for the next holder of the lease. */
export interface RecordedLoad extends PlannedLoad {
    /** Whether the load has completed or failed. It still counts toward the limit per minute. */
    isSettled: boolean;
}
