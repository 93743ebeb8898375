import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;
/** Time after the decisive crash from which harmful requests may not be forwarded; sound ones are served after twice this time. */
const settleWindowMilliseconds = 3_000;
const decisiveCrash = 5;
const maximumLateRuns = 3;
const minimumServedFraction = 0.5;
/** Sound requests before the first crash and after the last that are needed to compare them. */
const minimumSoundRequests = 20;
const okStatus = 200;

/**
 * Checks each series of requests with a harmful part of the prompt: after some crashes, nodes forward hardly any such request, and still
 * serve the sound ones.
 * @returns A line about each series.
 */
export function checkPromptSeries(runs: readonly EndpointRun[], context: CheckContext): string[] {
    const bySeries = Map.groupBy(context.records.values(), ({ role }) => role?.series);
    bySeries.delete(undefined);
    return [...bySeries].map(([name, records]) => checkSeries(name!, records, runs, context));
}

function checkSeries(
    name: string,
    records: readonly CallRecord[],
    runs: readonly EndpointRun[],
    { endpoints, faults, violations }: CheckContext,
): string {
    const isCalm = (node: string, from: number, to: number) =>
        !faults.hasFault(["node", "store"], from - settleMilliseconds, to, node);
    const harmful = new Map(records.filter(({ role }) => role!.isHarmful).map(({ id, node }) => [id, node]));
    const harmfulRuns = runs.filter(({ id }) => harmful.has(id));
    const crashes = [...new Set(harmfulRuns.map(({ endpointId }) => endpointId))]
        .flatMap(id => endpoints.map(endpoint => endpoint.history.getEndedAt(id)))
        .filter(at => at !== undefined)
        .sort((left, right) => left - right);
    const fifth = crashes[decisiveCrash - 1];
    const late = harmfulRuns.filter(({ id, arrivedAt }) =>
        fifth !== undefined && arrivedAt > fifth + settleWindowMilliseconds
        && isCalm(harmful.get(id)!, arrivedAt, arrivedAt)
    );
    const sound = records.filter(({ role, node, sentAt, endedAt }) =>
        !role!.isHarmful && isCalm(node, sentAt, endedAt)
    );
    const settledAt = (fifth ?? crashes.at(-1) ?? Infinity) + 2 * settleWindowMilliseconds;
    const before = sound.filter(({ sentAt }) => sentAt < (crashes[0] ?? 0));
    const after = sound.filter(({ sentAt }) => sentAt > settledAt);
    const summary = `${name}: ${records[0]!.kind}, ${crashes.length} endpoints crashed, ${harmfulRuns.length} of `
        + `${harmful.size} harmful requests were forwarded, ${late.length} of them late; served of the sound ones: `
        + `${countServed(before)} of ${before.length} before, ${countServed(after)} of ${after.length} after.`;
    if (late.length > maximumLateRuns) {
        violations.addForSpan("partForwarded", summary, fifth!, late.at(-1)!.arrivedAt);
    }
    const isComparable = Math.min(before.length, after.length) >= minimumSoundRequests;
    if (isComparable && getServedFraction(after) < minimumServedFraction * getServedFraction(before)) {
        violations.addForSpan("partRefused", summary, settledAt, after.at(-1)!.endedAt);
    }
    return summary;
}

function getServedFraction(records: readonly CallRecord[]): number {
    return countServed(records) / records.length;
}

function countServed(records: readonly CallRecord[]): number {
    return records.filter(({ status, isComplete }) => status === okStatus && isComplete).length;
}
