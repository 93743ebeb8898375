import { build, type Histogram } from "hdr-histogram-js";
import { countNames } from "./countNames.ts";
import type { FaultTimeline } from "./faultTimeline.ts";
import { formatCounts } from "./formatCounts.ts";
import type { KeyCounts } from "./keyCheck.ts";
import { printViolations } from "./printViolations.ts";
import type { SendRecord } from "./sendRecord.ts";
import type { Violation } from "./violations.ts";

/** The result of a soak test of `foxlead node`. */
export interface SoakResult {
    seed: number;
    seconds: number;
    requests: number;
    records: readonly SendRecord[];
    timeline: FaultTimeline;
    keys: KeyCounts;
    versions: { accepted: number; checked: number; };
    leavingChecks: { checked: number; skipped: number; };
    exitCodes: readonly (number | undefined)[];
    violations: readonly Violation[];
}

/** Faults of engines after which a stage has to be replaced. */
const engineFaults = ["engineKill", "engineFreeze", "engineSilentConnections", "engineResets", "engineFailures"];
const maximumGapMilliseconds = 120_000;
const maximumFailuresShown = 15;

/**
 * Prints the result of a soak test.
 * @param result - The result.
 * @param print - Prints a line.
 */
export function printSoakReport(result: SoakResult, print: (line: string) => void): void {
    const { seed, seconds, requests, records, timeline, keys, versions, leavingChecks, exitCodes, violations } = result;
    print(`Seed ${seed}: ${requests} requests in ${records.length} attempts, ${seconds.toFixed(0)} s of load.`);
    print(`Faults: ${formatCounts(timeline.getCounts())}.`);
    const outcomes = countNames(records.map(record => getOutcomeName(record, timeline)));
    print(`Attempts by outcome: ${formatCounts(outcomes)}.`);
    print(`Keys: ${formatCounts({ ...keys })}.`);
    print(`Configurations: ${versions.accepted} accepted, ${versions.checked} node checks 3 s after acceptance.`);
    print(
        `Leaving engines: ${leavingChecks.checked} checked, ${leavingChecks.skipped} skipped because of other faults.`,
    );
    print(`Exit codes of the nodes at the end: ${exitCodes.join(", ")}.`);
    printGaps(records, timeline, print);
    printFailures(records, timeline, print);
    printViolations(violations, print);
}

function getOutcomeName(record: SendRecord, timeline: FaultTimeline): string {
    const { node, outcome, errorCode, sentAt, endedAt } = record;
    if (outcome === "cut") {
        return timeline.hasDuring(["nodeKill"], sentAt, endedAt, node) ? "cut/nodeKilled" : "cut/other";
    }
    return outcome === "notRun" || outcome === "failed" ? `${outcome}/${errorCode}` : outcome;
}

/** Prints the longest gaps of complete streams, and separately of those with a fault at one of their stages. */
function printGaps(records: readonly SendRecord[], timeline: FaultTimeline, print: (line: string) => void): void {
    const all = createHistogram();
    const recovered = createHistogram();
    for (const { plan, outcome, sentAt, endedAt, chain, longestGapMilliseconds } of records) {
        if (plan.kind !== "chat" || !plan.isStreamed || outcome !== "finished" || plan.readDelayMilliseconds > 0) {
            continue;
        }
        all.recordValue(Math.round(longestGapMilliseconds));
        const faults = timeline.getDuring(sentAt, endedAt);
        if (faults.some(({ kind, target }) => engineFaults.includes(kind) && chain.includes(`${target}[`))) {
            recovered.recordValue(Math.round(longestGapMilliseconds));
        }
    }
    print(`Longest gap of a complete stream: ${formatHistogram(all)}.`);
    print(`Longest gap with a fault at a stage of the first chain: ${formatHistogram(recovered)}.`);
}

/** Prints failed responses, and those interrupted for other reasons than a killed node; they need not be violations. */
function printFailures(records: readonly SendRecord[], timeline: FaultTimeline, print: (line: string) => void): void {
    const shown = records.filter(record => {
        return record.outcome === "failed" || getOutcomeName(record, timeline) === "cut/other";
    });
    for (const { plan, node, outcome, sentAt, endedAt, message } of shown.slice(0, maximumFailuresShown)) {
        const faults = timeline.describe(sentAt, endedAt);
        print(`${outcome}: request ${plan.number} (${plan.service}) at ${node}, ${endedAt - sentAt} ms: ${message}`);
        print(`  Faults: ${faults}`);
    }
}

function createHistogram(): Histogram {
    return build({ highestTrackableValue: maximumGapMilliseconds, numberOfSignificantValueDigits: 3 });
}

function formatHistogram(histogram: Histogram): string {
    const median = histogram.getValueAtPercentile(50);
    const percentile99 = histogram.getValueAtPercentile(99);
    return `median ${median} ms, 99th percentile ${percentile99} ms, maximum ${histogram.maxValue} ms, `
        + `streams: ${histogram.totalCount}`;
}
