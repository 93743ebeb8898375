/** Median, 99th percentile and worst of a time, in milliseconds, over so many samples. */
export interface TimeSummary {
    median: number;
    percentile99: number;
    worst: number;
    samples: number;
}
