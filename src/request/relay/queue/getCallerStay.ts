import type { Route } from "../../../version/routing/route.ts";

/** Minimum time for which callers stay without an event. */
const minimumStayMilliseconds = 2_000;
/** Callers stay for this many times the latency objective, or the longest pause of their route, without an event. */
const staysPerObjective = 4;
const staysPerEventGap = 8;

/** Gets the time for which callers of a route stay without an event, in milliseconds. */
export function getCallerStay(
    { targetLatencyMilliseconds, maximumEventGapMilliseconds }: Pick<
        Route,
        "targetLatencyMilliseconds" | "maximumEventGapMilliseconds"
    >,
): number {
    return Math.max(
        minimumStayMilliseconds,
        staysPerObjective * targetLatencyMilliseconds,
        staysPerEventGap * maximumEventGapMilliseconds,
    );
}
