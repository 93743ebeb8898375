/** How far and how surely a node's copy of the store is known to be current. */
export interface StoreCopyState {
    /** Time since the copy was last known to be current, in milliseconds. */
    copyAgeMilliseconds: number;
    /** Revision up to which the copy has all changes of the configuration. */
    copyRevision: number;
}
