import type { StoreRecord } from "./storeRecord.ts";

/** What a node lacks of a section. */
export interface SectionChanges {
    frontier: number;
    /** Whether the records are all that there are, so that any other key is deleted. */
    isWhole: boolean;
    records: StoreRecord[];
}
