import type { FaultTimeline } from "../faultTimeline.ts";
import { formatCounts } from "../formatCounts.ts";
import { printViolations } from "../printViolations.ts";
import type { Violation } from "../violations.ts";

/** What a soak of `foxlead platform` has found. */
export interface RouterSoakResult {
    seed: number;
    seconds: number;
    /** Requests by kind and outcome. */
    outcomes: Record<string, number>;
    timeline: FaultTimeline;
    violations: readonly Violation[];
}

/**
 * Writes the result of a soak for people to read.
 * @param result - What was found.
 * @param print - Takes each line.
 */
export function printRouterSoakReport(result: RouterSoakResult, print: (line: string) => void): void {
    const { seed, seconds, outcomes, timeline, violations } = result;
    print(`Seed ${seed}: ${seconds.toFixed(0)} s.`);
    print(`Faults: ${formatCounts(timeline.getCounts())}.`);
    print(`Requests by outcome: ${formatCounts(outcomes)}.`);
    printViolations(violations, print);
}
