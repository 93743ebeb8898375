import type { RecordRevision } from "./recordRevision.ts";
import type { StoreRecord } from "./storeRecord.ts";

/** Changes of a section that a node lacks. */
export interface SectionChanges {
    /** Revision up to which the changes are complete. */
    frontier: number;
    /** Whether the records and the unchanged ones are the full section, so that all other keys are deleted. */
    isWhole: boolean;
    records: StoreRecord[];
    /** Records that the node has by its frontier. Only a full section lists them. */
    unchanged: RecordRevision[];
}
