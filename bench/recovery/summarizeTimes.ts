import { build } from "hdr-histogram-js";
import type { TimeSummary } from "./timeSummary.ts";

/**
 * Summarizes times. All figures are 0 if there are no times.
 * @param times - Times in milliseconds.
 */
export function summarizeTimes(times: readonly number[]): TimeSummary {
    const histogram = build();
    for (const time of times) {
        histogram.recordValue(Math.max(0, Math.round(time)));
    }
    return {
        median: histogram.getValueAtPercentile(50),
        percentile99: histogram.getValueAtPercentile(99),
        worst: histogram.maxValue,
        samples: times.length,
    };
}
