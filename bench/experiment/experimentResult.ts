/** What became of the requests that were sent in one span of time. */
export interface ExperimentWindow {
    /** Start of the span, in seconds. */
    from: number;
    asked: number;
    inAim: number;
    late: number;
    refused: number;
    failed: number;
    /** Times to the first event, in milliseconds. */
    firstEvents: number[];
}

/** What one run of an experiment gave. */
export interface ExperimentResult {
    seed: number;
    windows: ExperimentWindow[];
    /** Sendings to engines, those that were refused, and requests given up in mid-stream for want of memory. */
    sent: number;
    refusedByEngines: number;
    preempted: number;
    /** Requests that came back after they were turned away, and those of them that were served. */
    returned: number;
    servedReturns: number;
    /** Most that a customer's part of what was served in time lies below its part of what was asked, 0 to 1. */
    customerShortfall: number;
}
