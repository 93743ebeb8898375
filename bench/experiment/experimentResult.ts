/** Outcomes of the requests that were first sent in one time window. */
export interface ExperimentWindow {
    /** Start of the window, in seconds. */
    from: number;
    /** Requests sent. */
    asked: number;
    /** Requests served within the latency objectives. */
    inAim: number;
    /** Requests served, but not within the latency objectives. */
    late: number;
    refused: number;
    failed: number;
    /** Times to the first event, in milliseconds. */
    firstEvents: number[];
}

/** Outcomes of the requests of one rank. */
export interface RankResult {
    rank: number;
    asked: number;
    inAim: number;
    late: number;
    refused: number;
    failed: number;
    /** Worth of the answers as a fraction of that of as many answers on time. */
    worthShare: number;
}

/** Result of one run of an experiment. */
export interface ExperimentResult {
    seed: number;
    windows: ExperimentWindow[];
    /** Outcomes by rank, of requests that were first sent from the first burst on until 4 s after the last one. */
    ranks: RankResult[];
    /** Attempts sent to engines, attempts that engines refused, and preemptions in mid-stream for lack of memory. */
    sent: number;
    refusedByEngines: number;
    preempted: number;
    /** Requests that were refused at their first attempt, and those of them that a retry served. */
    returned: number;
    servedReturns: number;
    /**
     * Largest amount by which the fraction of a customer's requests served in time lies below that of all requests, 0
     * to 1.
     */
    customerShortfall: number;
}
