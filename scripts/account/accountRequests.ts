import type { AccountWindow } from "./accountWindow.ts";
import type { RequestEnd } from "./requestEnd.ts";

const millisecondsPerSecond = 1_000;

/**
 * Groups requests into time windows by their time of arrival, and counts the reasons of those not answered in time.
 * @param ends - Ends of the requests, in any order.
 * @param windowSeconds - Length of a window; Infinity for a single one.
 */
export function accountRequests(ends: readonly RequestEnd[], windowSeconds: number): AccountWindow[] {
    const first = ends.reduce((least, { arrivedAt }) => Math.min(least, arrivedAt), Infinity);
    const groups = new Map<number, RequestEnd[]>();
    for (const end of ends) {
        const from = getWindowStart((end.arrivedAt - first) / millisecondsPerSecond, windowSeconds);
        const group = groups.get(from) ?? [];
        group.push(end);
        groups.set(from, group);
    }
    return [...groups].sort(([left], [right]) => left - right).map(([from, group]) => ({
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

/** Gets the start of the window that contains a time; 0 for a window of infinite length. */
function getWindowStart(seconds: number, windowSeconds: number): number {
    return windowSeconds === Infinity ? 0 : Math.floor(seconds / windowSeconds) * windowSeconds;
}
