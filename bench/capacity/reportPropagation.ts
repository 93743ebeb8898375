/** Results for the propagation of endpoint records to all nodes. */
export interface ReportPropagation {
    nodes: number;
    engines: number;
    /** What all nodes know before the run. */
    before: string;
    /** Mean fraction of the engines of which a node has received a record during the run. */
    known: number;
    /** Mean age of the latest records that nodes have received during the run. */
    meanAgeSeconds: number;
    /** Times until 50%, 95% and all of the nodes know that an engine is leaving; undefined if the run ended before that. */
    leavingKnownSeconds: readonly (number | undefined)[];
}
