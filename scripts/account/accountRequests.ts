import type { AccountWindow } from "./accountWindow.ts";
import type { RequestEnd } from "./requestEnd.ts";

const secondMilliseconds = 1_000;

/**
 * Accounts for requests by when they arrived.
 * @param ends - How they ended, in any order.
 * @param windowSeconds - Length of each span.
 */
export function accountRequests(ends: readonly RequestEnd[], windowSeconds: number): AccountWindow[] {
    const first = ends.reduce((least, { arrivedAt }) => Math.min(least, arrivedAt), Infinity);
    const groups = new Map<number, RequestEnd[]>();
    for (const end of ends) {
        const from = getWindowStart((end.arrivedAt - first) / secondMilliseconds, windowSeconds);
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

/** Gets the start of the window that a time lies in; one without end begins at 0. */
function getWindowStart(seconds: number, windowSeconds: number): number {
    return windowSeconds === Infinity ? 0 : Math.floor(seconds / windowSeconds) * windowSeconds;
}
