import type { FaultTimeline } from "../faultTimeline.ts";
import { formatCounts } from "../formatCounts.ts";
import { printViolations } from "../printViolations.ts";
import type { Violation } from "../violations.ts";

/** The result of a soak test of `foxlead platform`. */
export interface RouterSoakResult {
    seed: number;
    seconds: number;
    /** Requests by kind and outcome. */
    outcomes: Record<string, number>;
    timeline: FaultTimeline;
    /** A line about each series of requests with a harmful part of the prompt. */
    promptSeries: readonly string[];
    violations: readonly Violation[];
}

/**
 * Prints the result of a soak test.
 * @param result - The result.
 * @param print - Prints a line.
 */
export function printRouterSoakReport(result: RouterSoakResult, print: (line: string) => void): void {
    const { seed, seconds, outcomes, timeline, promptSeries, violations } = result;
    print(`Seed ${seed}: ${seconds.toFixed(0)} s.`);
    print(`Faults: ${formatCounts(timeline.getCounts())}.`);
    print(`Requests by outcome: ${formatCounts(outcomes)}.`);
    for (const line of promptSeries) {
        print(line);
    }
    printViolations(violations, print);
}
