import { getQuantile } from "../admission/getQuantile.ts";
import type { ExperimentResult, ExperimentWindow } from "./experimentResult.ts";

/** What several seeds of an experiment have in common. */
export interface RunSummary {
    /** Part of the requests that were served in time, 0 to 1, over all windows: median, least and most over the seeds. */
    goodput: { median: number; least: number; most: number; };
    /** In time in the worst window of the load's height, as a part of the best one. */
    worstOfBest: number;
    /** Sendings that engines refused, and requests given up in mid-stream, as a part of all sendings. */
    refusedPart: number;
    preemptedPart: number;
    /** Of those that came back, the part that was served. */
    servedReturnPart: number;
    customerShortfall: number;
    /** Windows, summed over the seeds. */
    windows: ExperimentWindow[];
}

/** Sums the runs of several seeds up. */
export function summarizeRuns(results: readonly ExperimentResult[]): RunSummary {
    const goodputs = results.map(getGoodput);
    const windows = sumWindows(results);
    const peak = Math.max(...windows.map(({ asked }) => asked));
    // The height of the load, without its first window, in which what is known of the load is old.
    const high = windows.filter(({ asked }) => asked > 0.8 * peak).slice(1);
    const inAim = high.map(window => window.inAim);
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
