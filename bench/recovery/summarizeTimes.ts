import { build } from "hdr-histogram-js";
import type { TimeSummary } from "./timeSummary.ts";

/** @param times - Times in milliseconds; zeros are given where there are none. */
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
