import { getQuantile } from "../admission/getQuantile.ts";
import type { ExperimentResult, ExperimentWindow } from "./experimentResult.ts";

/** Summary of an experiment's runs over several seeds. */
export interface RunSummary {
    /** Fraction of the requests that were served in time, 0 to 1: median, minimum and maximum over the seeds. */
    goodput: { median: number; least: number; most: number; };
    /** Requests served in time in the worst window at peak load, as a fraction of the best one. */
    worstOfBest: number;
    /** Attempts that engines refused, and preemptions in mid-stream, as fractions of all attempts. */
    refusedPart: number;
    preemptedPart: number;
    /** Fraction of the retried requests that were served. */
    servedReturnPart: number;
    /** Median of {@link ExperimentResult.customerShortfall} over the seeds. */
    customerShortfall: number;
    /** Windows, summed over the seeds. */
    windows: ExperimentWindow[];
}

/** Summarizes the runs of several seeds. */
export function summarizeRuns(results: readonly ExperimentResult[]): RunSummary {
    const goodputs = results.map(getGoodput);
    const windows = sumWindows(results);
    const peak = Math.max(...windows.map(({ asked }) => asked));
    // The windows at peak load without the first one, in which the nodes still work with outdated loads.
    const peakWindows = windows.filter(({ asked }) => asked > 0.8 * peak).slice(1);
    const inAim = peakWindows.map(window => window.inAim);
    const total = (getCount: (result: ExperimentResult) => number) =>
        results.reduce((sum, result) => sum + getCount(result), 0);
    const sent = total(result => result.sent);
    return {
        goodput: {
            median: getQuantile(goodputs, 0.5),
            least: Math.min(...goodputs),
            most: Math.max(...goodputs),
        },
        worstOfBest: Math.min(...inAim) / Math.max(...inAim),
        refusedPart: total(result => result.refusedByEngines) / sent,
        preemptedPart: total(result => result.preempted) / sent,
        servedReturnPart: total(result => result.servedReturns) / Math.max(1, total(result => result.returned)),
        customerShortfall: getQuantile(results.map(result => result.customerShortfall), 0.5),
        windows,
    };
}

function getGoodput({ windows }: ExperimentResult): number {
    const asked = windows.reduce((sum, window) => sum + window.asked, 0);
    return windows.reduce((sum, window) => sum + window.inAim, 0) / asked;
}

function sumWindows(results: readonly ExperimentResult[]): ExperimentWindow[] {
    const [first, ...rest] = results;
    const windows = first!.windows.map(window => ({ ...window, firstEvents: [...window.firstEvents] }));
    for (const result of rest) {
        for (const [index, window] of result.windows.entries()) {
            const sum = windows[index]!;
            sum.asked += window.asked;
            sum.inAim += window.inAim;
            sum.late += window.late;
            sum.refused += window.refused;
            sum.failed += window.failed;
            sum.firstEvents.push(...window.firstEvents);
        }
    }
    return windows;
}
