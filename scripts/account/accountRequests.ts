import type { AccountWindow } from "./accountWindow.ts";
import { groupByWindow } from "./groupByWindow.ts";
import type { RequestEnd } from "./requestEnd.ts";

/**
 * Groups requests into time windows by their time of arrival, and counts the reasons of those not answered in time.
 * @param ends - Ends of the requests, in any order.
 * @param windowSeconds - Length of a window; Infinity for a single one.
 */
export function accountRequests(
    ends: readonly Pick<RequestEnd, "arrivedAt" | "reason">[],
    windowSeconds: number,
): AccountWindow[] {
    return groupByWindow(ends, windowSeconds).map(([from, group]) => ({
        from,
        asked: group.length,
        inTime: group.filter(({ reason }) => reason === "inTime").length,
        lost: countReasons(group.filter(({ reason }) => reason !== "inTime").map(({ reason }) => reason)),
    }));
}

function countReasons(reasons: readonly string[]): [string, number][] {
    const counts = new Map<string, number>();
    for (const reason of reasons) {
        counts.set(reason, (counts.get(reason) ?? 0) + 1);
    }
    return [...counts].sort(([, left], [, right]) => right - left);
}
