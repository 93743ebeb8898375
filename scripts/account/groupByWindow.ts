import type { RequestEnd } from "./requestEnd.ts";

const millisecondsPerSecond = 1_000;

/**
 * Groups requests into time windows by their time of arrival.
 * @param ends - Ends of the requests, in any order.
 * @param windowSeconds - Length of a window; Infinity for a single one.
 * @returns Start of each window in seconds since the first request, in order, and its requests.
 */
export function groupByWindow<End extends Pick<RequestEnd, "arrivedAt">>(
    ends: readonly End[],
    windowSeconds: number,
): [from: number, ends: End[]][] {
    const first = ends.reduce((least, { arrivedAt }) => Math.min(least, arrivedAt), Infinity);
    const groups = Map.groupBy(
        ends,
        ({ arrivedAt }) => getWindowStart((arrivedAt - first) / millisecondsPerSecond, windowSeconds),
    );
    return [...groups].sort(([left], [right]) => left - right);
}

/** Gets the start of the window that contains a time; 0 for a window of infinite length. */
function getWindowStart(seconds: number, windowSeconds: number): number {
    return windowSeconds === Infinity ? 0 : Math.floor(seconds / windowSeconds) * windowSeconds;
}
