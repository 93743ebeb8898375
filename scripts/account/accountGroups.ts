import type { AccountGroup } from "./accountGroup.ts";
import { accountRequests } from "./accountRequests.ts";
import { getGroupName } from "./getGroupName.ts";
import { getQuantile } from "./getQuantile.ts";
import { groupByWindow } from "./groupByWindow.ts";
import type { Grouping } from "./grouping.ts";
import type { RequestEnd } from "./requestEnd.ts";

/** A request and the name of its group. */
interface GroupedEnd extends RequestEnd {
    group: string;
}

/** Maximum number of groups of a report; deployments have thousands of customers. */
const maximumGroups = 12;
/** Name of the group that holds the requests of all further groups. */
const othersName = "others";
/** Name of the group of requests of which the log doesn't tell the group, for example those of nodes of an older release. */
const unknownName = "unknown";
const fraction99 = 0.99;

/**
 * Counts requests by group, over all and by time window.
 * @param ends - Ends of the requests, in any order.
 * @param grouping - What to group by.
 * @param windowSeconds - Length of a window.
 * @returns The groups of all windows together, then those of each window. Empty if the log tells the group of no request.
 */
export function accountGroups(ends: readonly RequestEnd[], grouping: Grouping, windowSeconds: number): AccountGroup[] {
    if (ends.every(end => getGroupName(end, grouping) === undefined)) {
        return [];
    }
    const grouped = limitGroups(ends.map(end => ({ ...end, group: getGroupName(end, grouping) ?? unknownName })));
    return [
        ...countGroups(undefined, grouped),
        ...groupByWindow(grouped, windowSeconds).flatMap(([from, endsOfWindow]) => countGroups(from, endsOfWindow)),
    ];
}

/** Merges all but the largest groups into one. */
function limitGroups(ends: readonly GroupedEnd[]): GroupedEnd[] {
    const groups = [...Map.groupBy(ends, ({ group }) => group)].sort(([, left], [, right]) =>
        right.length - left.length
    );
    const kept = new Set(groups.slice(0, maximumGroups).map(([group]) => group));
    return ends.map(end => kept.has(end.group) ? end : { ...end, group: othersName });
}

function countGroups(from: number | undefined, ends: readonly GroupedEnd[]): AccountGroup[] {
    return [...Map.groupBy(ends, ({ group }) => group)]
        .sort(([left], [right]) => compareNames(left, right))
        .map(([group, endsOfGroup]) => ({
            ...accountRequests(endsOfGroup, Infinity)[0]!,
            from,
            group,
            refused: endsOfGroup.filter(({ isRefused }) => isRefused).length,
            retryMilliseconds: measureRetryDelays(endsOfGroup),
            sentMilliseconds: measureWaits(endsOfGroup),
        }));
}

/** Orders names by the numbers in them, and the two collective groups last. */
function compareNames(left: string, right: string): number {
    const [leftPlace, rightPlace] = [left, right].map(name => [othersName, unknownName].indexOf(name));
    return leftPlace! - rightPlace! || left.localeCompare(right, "en", { numeric: true });
}

function measureRetryDelays(ends: readonly RequestEnd[]): AccountGroup["retryMilliseconds"] {
    const delays = sortDefined(ends.map(({ retryMilliseconds }) => retryMilliseconds));
    return delays.length === 0 ? undefined : { median: getQuantile(delays, 0.5), maximum: delays.at(-1)! };
}

function measureWaits(ends: readonly RequestEnd[]): AccountGroup["sentMilliseconds"] {
    const waits = sortDefined(ends.map(({ sentMilliseconds }) => sentMilliseconds));
    return waits.length === 0
        ? undefined
        : { median: getQuantile(waits, 0.5), percentile99: getQuantile(waits, fraction99) };
}

function sortDefined(values: readonly (number | undefined)[]): number[] {
    return values.filter(value => value !== undefined).sort((left, right) => left - right);
}
