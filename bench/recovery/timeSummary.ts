/** Median, 99th percentile and maximum of times in milliseconds, and the number of samples. */
export interface TimeSummary {
    median: number;
    percentile99: number;
    worst: number;
    samples: number;
}
