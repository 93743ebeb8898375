import type { TrialFigures } from "./runTrial.ts";
import { summarizeTimes } from "./summarizeTimes.ts";
import type { TimeSummary } from "./timeSummary.ts";

/** Summary of the trials of one fault and router. Times are in milliseconds. */
interface TrialSummary {
    struckStall: TimeSummary;
    allStall: TimeSummary;
    gap: TimeSummary;
    throughput: TimeSummary;
    wrongAnswers: number;
    /** Number of attempts that ended without an answer, by cause. */
    brokenAttempts: Record<string, number>;
    replacedBefore: number;
    repeatedBefore: number;
    tokensPerSecondBefore: number;
    tokensPerSecondAfter: number;
}

/**
 * Summarizes the trials of one fault and router.
 * @param trials - At least one trial.
 */
export function summarizeTrials(trials: readonly TrialFigures[]): TrialSummary {
    return {
        struckStall: summarizeTimes(trials.flatMap(trial => trial.struckStalls)),
        allStall: summarizeTimes(trials.flatMap(trial => trial.allStalls)),
        gap: summarizeTimes(trials.flatMap(trial => trial.gaps)),
        throughput: summarizeTimes(trials.map(trial => trial.throughputMilliseconds)),
        wrongAnswers: sum(trials.map(trial => trial.wrongAnswers)),
        brokenAttempts: countCauses(trials),
        replacedBefore: sum(trials.map(trial => trial.replacedBefore)),
        repeatedBefore: sum(trials.map(trial => trial.repeatedBefore)),
        tokensPerSecondBefore: Math.round(sum(trials.map(trial => trial.tokensPerSecondBefore)) / trials.length),
        tokensPerSecondAfter: Math.round(sum(trials.map(trial => trial.tokensPerSecondAfter)) / trials.length),
    };
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function countCauses(trials: readonly TrialFigures[]): Record<string, number> {
    const causes: Record<string, number> = {};
    for (const trial of trials) {
        for (const [cause, count] of trial.brokenAttempts) {
            causes[cause] = (causes[cause] ?? 0) + count;
        }
    }
    return causes;
}
