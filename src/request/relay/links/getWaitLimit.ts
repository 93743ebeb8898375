import type { Route } from "../../../version/routing/route.ts";

const minimumMilliseconds = 2_000;
const objectivesPerWait = 4;
const eventGapsPerWait = 8;

/** Gets how long a route's callers wait for an event before they leave, in milliseconds. */
export function getWaitLimit({ targetLatencyMilliseconds, maximumEventGapMilliseconds }: Route): number {
    return Math.max(
        minimumMilliseconds,
        objectivesPerWait * targetLatencyMilliseconds,
        eventGapsPerWait * maximumEventGapMilliseconds,
    );
}
