import type { StoreRecord } from "./storeRecord.ts";

/** Changes of a section that a node lacks. */
export interface SectionChanges {
    /** Revision up to which the changes are complete. */
    frontier: number;
    /** Whether the records are the full section, so that all other keys are deleted. */
    isWhole: boolean;
    records: StoreRecord[];
}
