import type { DataCentreLink } from "./dataCentreLink.ts";

/** What one node's requests put on a link between data centres. */
export interface LinkReport extends DataCentreLink {
    bitsPerSecond: number;
    /** Number of streams that were sent over the link and have no event yet. */
    waiting: number;
    /** Time for which the oldest of them has waited, in milliseconds. */
    longestWaitMilliseconds: number;
}
