/** How well the records of the endpoint observers reach all nodes. */
export interface ReportSpread {
    nodes: number;
    engines: number;
    /** What all nodes knew before the run. */
    before: string;
    /** Part of the engines of which a node has heard in the run. */
    known: number;
    /** Mean age of what a node has heard of an engine in the run, in seconds. */
    meanAgeSeconds: number;
    /** Seconds until 50%, 95% and all of the nodes have heard that an engine leaves; undefined where the run was over before. */
    leavingKnownSeconds: readonly (number | undefined)[];
}
